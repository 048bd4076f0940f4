// Package operator serves the HTTP API of the operator listener: submissions and rollbacks, status, history,
// convergence, the timeline, drains, the quarantine, metrics, and the announcements of backend servers.
package operator
