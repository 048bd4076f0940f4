// Package peer carries typed messages between daemons over net/rpc and admits
// only daemons that hold the shared key or a certificate of the authority.
package peer
