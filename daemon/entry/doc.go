// Package entry serves callers: it matches a request to a route, picks a
// backend server and hands the request to the daemon beside it.
package entry
