// Package operator serves the operator listener: submissions, status, history,
// the time line, drains and the announcements of backend servers.
package operator
