// Package application is a stand-in for a backend server on the platform, for
// tests and trials. It runs a bounded number of requests at a time, sends
// heartbeats to the daemon on its instance, drains, and can be made to crash or
// to break connections.
package application
