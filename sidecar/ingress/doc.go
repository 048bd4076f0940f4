// Package ingress serves the connections of clients.
//
// net/http.Server does not fit: it runs pipelined requests one after another
// and does not notice that a client has left while bytes of its next request are
// buffered. The messages are parsed and written by net/http.
package ingress
