// Package connections is the part that connects the daemon to its peers.
package connections
