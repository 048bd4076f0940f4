// Package peer connects daemons by net/rpc: links with deadlines to the other
// daemons and the listener for their calls.
package peer
