// Package snapshot compiles a set of declarations into the route table of one
// proxy.
package snapshot
