// Package relay decides which daemons follow the configuration at the store.
//
// If all did, each version would cost one call of the store for each daemon.
// Instead a few daemons of each data centre, its relays, follow the store; they
// tell the others of a new version, which fetch it from them. The relays are
// picked by rendezvous hashing (package distribution) among the daemons that one
// daemon believes to be alive, without any coordination: two daemons that believe
// different things may both follow, which costs calls but nothing else, since
// versions only grow.
package relay
