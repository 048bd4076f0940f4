package httpserver

import (
	"bufio"
	"net"
	"net/http"
)

// tellClose returns a handler whose answers tell the client that the connection closes, if they begin after Shutdown was
// called. http.Server does so only once it drops the requests that are still read.
func (s *Server) tellClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &writer{ResponseWriter: w, server: s}
		next.ServeHTTP(t, r)
		t.begin()
	})
}

// writer writes an answer.
type writer struct {
	http.ResponseWriter
	server  *Server
	isBegun bool
}

// begin adds the header to an answer that begins.
func (w *writer) begin() {
	if !w.isBegun && w.server.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.isBegun = true
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	if status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge {
		// The body may be too large to be read. http.MaxBytesReader tells only a writer of http.Server itself, which would
		// otherwise read on before it answers.
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written, for http.ResponseController.
func (w *writer) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *writer) Flush() {
	// The next write returns the error.
	_ = w.FlushError()
}

// Hijack implements http.Hijacker.
func (w *writer) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return http.NewResponseController(w.ResponseWriter).Hijack()
}

// Unwrap returns the writer of http.Server, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
