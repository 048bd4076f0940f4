// Package upstream sends requests to the backend server of a daemon over
// persistent HTTP/1.1 connections.
//
// It does not use net/http.Transport, which may retry a request by itself, may
// return a late or additional answer to the next request on a connection, and
// ignores the idle timeout that the server announces in its Keep-Alive header.
// Only the encoding and parsing of messages is left to net/http.
package upstream
