// Package sidecar is the daemon that `siskinspar sidecar` runs, for platforms
// whose store holds the operator's configuration: it runs on the instance of one
// backend server, accepts the requests of clients there, and forwards each to
// the daemon of the backend server that is to run it.
//
// Package daemon is the other way of running siskinspar: it keeps the
// configuration in a version log of its own, and uses packages request/admission
// and request/routing where this one uses sidecar/slot and sidecar/placement.
package sidecar
