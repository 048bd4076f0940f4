// Package message declares what daemons say to each other over net/rpc.
package message
