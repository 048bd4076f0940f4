// Package peer defines the messages between daemons and carries them over net/rpc.
//
// The peer listener admits only daemons that present the shared key, a certificate signed by the configured
// authority, or both, as the settings demand.
package peer
