// Package outcome types what became of a request, from the backend server's
// edge to the caller.
package outcome
