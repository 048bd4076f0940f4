// Package spread carries versions and notices between daemons.
package spread
