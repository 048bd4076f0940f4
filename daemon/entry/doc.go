// Package entry accepts the requests of callers: it matches each one to a route,
// picks a backend server and forwards the request to the daemon beside that
// server, its owner. It also retries and hedges where that is safe.
package entry
