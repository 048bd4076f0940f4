// Package message declares the arguments and replies of the calls that daemons
// make to each other over net/rpc. Package peer encodes them without fields that
// have their zero value, so that an empty map or list arrives as nil.
package message
