// Package soak runs sidecar daemons as separate processes, injects random faults
// from outside them, and checks that clients and backend servers see only what the
// product guarantees, such as no second execution of an unrepeatable request.
package soak
