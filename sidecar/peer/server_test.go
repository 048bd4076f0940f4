package peer_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/standin/loopback"
)

// slowService has one method, which replies once release is closed.
type slowService struct{ started, release chan struct{} }

func (s *slowService) Wait(_ int, reply *string) error {
	close(s.started)
	<-s.release
	*reply = "whole"
	return nil
}

// startServer runs a server of the service with a memory budget, and returns it with its address.
func startServer(t testing.TB, service any, m *memory.Budget) (*peer.Server, string) {
	t.Helper()
	address := loopback.Address()
	s := &peer.Server{Address: address, Service: service, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Memory: m}
	assert.NilError(t, s.Run())
	return s, address
}

// A planned stop must not cut calls that other daemons have sent before it.
func TestStopWaitsForTheRepliesOfCallsInProgress(t *testing.T) {
	v := &slowService{started: make(chan struct{}), release: make(chan struct{})}
	s, address := startServer(t, v, nil)
	c := &peer.Connection{Address: address}
	result := make(chan error, 1)
	var reply string
	go func() { result <- c.Call(t.Context(), peer.ServiceName+".Wait", 1, &reply) }()
	<-v.started
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Stop(20 * time.Second)
	}()
	<-s.Done()
	close(v.release)
	assert.NilError(t, <-result)
	assert.Equal(t, reply, "whole")
	<-stopped
}

func TestStopCutsCallsAfterItsLimit(t *testing.T) {
	v := &slowService{started: make(chan struct{}), release: make(chan struct{})}
	s, address := startServer(t, v, nil)
	c := &peer.Connection{Address: address}
	result := make(chan error, 1)
	go func() { result <- c.Call(t.Context(), peer.ServiceName+".Wait", 1, new(string)) }()
	<-v.started
	s.Stop(10 * time.Millisecond)
	assert.ErrorContains(t, <-result, "EOF")
	close(v.release)
}
