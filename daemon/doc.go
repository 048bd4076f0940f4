// Package daemon starts and stops the parts of one siskinspar daemon in order. It serves "siskinspar daemon", which
// selects backend servers by request/routing and admits requests by request/admission; the counterparts of these for
// "siskinspar sidecar" are sidecar/placement and sidecar/slot.
package daemon
