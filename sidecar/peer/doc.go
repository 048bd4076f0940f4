// Package peer connects the daemons with each other through net/rpc over TCP,
// with messages in MessagePack.
//
// A Pool holds the Connections on which a daemon calls the others; a Server
// serves the calls of the others. Calls, dials and writes are all limited in
// time.
package peer
