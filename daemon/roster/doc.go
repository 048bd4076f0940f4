// Package roster makes the membership machine of a daemon safe for concurrent
// use and keeps the candidate backend servers of each route up to date.
package roster
