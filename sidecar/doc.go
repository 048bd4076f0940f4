// Package sidecar is the daemon for a platform that keeps the configuration: it
// runs beside one backend server, takes the requests of the clients on its
// instance, and hands each to the daemon beside the backend server that is to
// run it.
package sidecar
