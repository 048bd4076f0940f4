// Package placement decides which backend servers a request is offered to, how
// often it may be sent again and when a refused client should come back. It is
// pure: the shell passes the time and the random source in.
package placement
