// Package soak runs sidecar daemons as separate processes, injects faults from
// outside them, and checks what clients and backend servers see against the
// promises of the product.
package soak
