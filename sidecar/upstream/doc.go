// Package upstream sends requests to the backend server beside a daemon over
// kept HTTP/1.1 connections.
//
// net/http.Transport does not fit: it may send a request again by itself, it
// gives a late or additional answer to the next request on a connection, and it
// does not bound the age of an idle connection by what the server states. The
// messages are written and parsed by net/http.
package upstream
