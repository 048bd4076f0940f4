// Package backendservers is the part that holds the table of the backend servers beside the daemon and probes their
// health.
package backendservers
