// Package httpserver shuts down an http.Server without loss of requests that have
// arrived. http.Server.Shutdown closes each connection that waits for a request at
// once, also if the bytes of a request lie unread in its socket, and drops a request
// that is being read.
package httpserver
