// Package distribution decides how a version of the configuration reaches every daemon: which daemons are relays that
// read the store, to whom a daemon pushes changes, and when it pulls them from a peer.
package distribution
