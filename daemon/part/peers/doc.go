// Package peers is the part that serves other daemons.
package peers
