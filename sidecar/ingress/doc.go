// Package ingress accepts the HTTP/1.1 connections of clients, reads their
// requests and writes the answers in order.
//
// It does not use net/http.Server, which serves pipelined requests one after
// another, and does not detect that a client has disconnected while bytes of its
// next request are buffered. Only the parsing and encoding of messages is left to
// net/http.
package ingress
