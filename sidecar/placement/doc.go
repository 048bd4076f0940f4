// Package placement decides for an entry daemon which backend servers a request
// is offered to, how often it may be sent again and how long a refused client
// should wait before it retries. It serves `siskinspar sidecar`; package
// request/routing selects the backend servers for package daemon.
//
// A nested request is one that a backend server sends while it runs another
// request, whose answer waits for it. If a nested request is refused, the work on
// the other one is lost. No message says that a request is nested: it is guessed
// from the time that its client still waits, see TimeLeftEstimates.
//
// The package reads no clock and takes no locks: package entry passes in the
// current time and the random source and serialises the calls.
package placement
