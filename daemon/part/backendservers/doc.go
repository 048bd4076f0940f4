// Package backendservers is the part that keeps and probes the backend servers beside the daemon.
package backendservers
