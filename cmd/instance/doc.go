// Package instance defines the sidecar command, which runs the daemon on an instance
// of the platform. It connects package sidecar to the adapter of the platform, which
// is under platform/.
package instance
