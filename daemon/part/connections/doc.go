// Package connections is the part that sets up the authentication of the daemon and its connections to peers.
package connections
