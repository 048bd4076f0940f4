package platform

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// connections numbers the connections of the clients, so that those opened before a moment can go silent.
type connections struct {
	// opened is the number of connections until now, silent the number of the latest one that is silent.
	opened, silent atomic.Int64
}

// connectionNumber is the key of the number of a connection in the context of its calls.
type connectionNumber struct{}

// ConnContext numbers a new connection; it is the ConnContext of the http.Server that serves the stand-in, without which
// SilenceConnections has no effect.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionNumber{}, s.connections.opened.Add(1))
}

// SilenceConnections makes all open connections silent for good: no response that is due on them comes. New ones work.
func (s *Server) SilenceConnections() { s.connections.silent.Store(s.connections.opened.Load()) }

// isSilent reports whether the connection of a call has gone silent.
func (c *connections) isSilent(r *http.Request) bool {
	number, ok := r.Context().Value(connectionNumber{}).(int64)
	return ok && number <= c.silent.Load()
}

// silence returns the mode in which the response to a call that is due now is lost, or ModeNone.
func (s *Server) silence(r *http.Request) Mode {
	if s.connections.isSilent(r) {
		return ModeSilent
	}
	return s.faults.silenceFor(callerAddress(r))
}

// leaveUnanswered keeps the connection of a call open without a response, or with the head of one alone in ModeHeadOnly,
// until the caller closes it.
func leaveUnanswered(w http.ResponseWriter, r *http.Request, silence Mode) {
	if silence == ModeHeadOnly {
		w.WriteHeader(http.StatusOK)
		// The error is ignored: the caller gets no response in any case.
		_ = http.NewResponseController(w).Flush()
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
