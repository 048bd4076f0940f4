// Package claim implements idempotency keys for requests that must run at most once.
//
// Before a daemon dispatches such a request it writes a claim for the caller's key to the platform's table. The package
// encodes claims, decides what an attempt does about a claim that exists, lists claims for removal, and remembers the
// state of the attempts of one daemon.
package claim
