package discovery_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/discovery"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/sidecar/route"
	"siskinspar.example/standin/loopback"
)

// otherDaemon is a daemon that holds its reply to the first probe until release is closed.
type otherDaemon struct {
	received chan message.Probe
	release  chan struct{}
	first    sync.Once
}

func (o *otherDaemon) Probe(p *message.Probe, reply *message.Probe) error {
	o.received <- *p
	o.first.Do(func() { <-o.release })
	*reply = message.Probe{}
	return nil
}

// ownState is the state of the probing daemon; its sequence is that of its latest change.
type ownState struct {
	mu       sync.Mutex
	sequence uint64
}

func (s *ownState) Probe(string) message.Probe {
	s.mu.Lock()
	defer s.mu.Unlock()
	return message.Probe{Record: member.Record{Sequence: s.sequence}}
}

func (s *ownState) ReceiveProbe(message.Probe) {}

func (s *ownState) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
}

// noConfiguration is a daemon without a configuration.
type noConfiguration struct{}

func (noConfiguration) Version() route.Version { return 0 }
func (noConfiguration) Install([]byte, string) {}

// A drain that is announced while a probe is on its way must not wait for the next round that reaches the daemon.
func TestAChangeDuringAProbeIsTold(t *testing.T) {
	// In the order of addresses the daemon comes after all others, of which none runs, so that no round reaches it soon.
	address := loopback.Address()
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	other := &otherDaemon{received: make(chan message.Probe, 100), release: make(chan struct{})}
	server := &peer.Server{Address: address, Service: other, Logger: logger}
	assert.NilError(t, server.Run())
	defer server.Stop(0)
	members := member.NewTable()
	members.Add(address, "a")
	for i := range 600 {
		members.Add(fmt.Sprintf("127.0.%d.%d:1", i/200, i%200+1), "b")
	}
	state := &ownState{}
	p := &discovery.Prober{
		Address: "127.0.0.1:1", DataCentre: "a", Members: members, Pool: &peer.Pool{}, StateExchange: state, Configuration: noConfiguration{}, Logger: logger,
		Relays: func() []string { return nil },
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p.Run(ctx)
	p.ProbeAll()
	assert.Equal(t, (<-other.received).Record.Sequence, uint64(0))
	state.change()
	p.ProbeAll()
	close(other.release)
	select {
	case received := <-other.received:
		assert.Equal(t, received.Record.Sequence, uint64(1))
	case <-time.After(20 * time.Second):
		t.Fatal("the change was not told within 20 s")
	}
}
