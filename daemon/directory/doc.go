// Package directory mends the directory of instances by comparison with
// other daemons.
package directory
