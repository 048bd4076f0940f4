// Package route holds one version of the request routes that all daemons share
// and finds the route of a request.
package route
