package discovery_test

import (
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

// startOther starts a daemon with the service that newService returns for its address, and returns the address.
func startOther(t *testing.T, newService func(address string) any) string {
	t.Helper()
	address := loopback.Address()
	server := &peer.Server{Address: address, Service: newService(address), Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	assert.NilError(t, server.Run())
	t.Cleanup(func() { server.Stop(0) })
	return address
}

// startProber starts a daemon with the service that newService returns for its address, and a prober that knows it. In the order of addresses the daemon comes after
// 600 others, of which none runs, so that no round reaches it soon.
func startProber(t *testing.T, newService func(address string) any, state *ownState) *discovery.Prober {
	t.Helper()
	address := startOther(t, newService)
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	members := member.NewTable()
	members.Add(address, "a")
	for i := range 600 {
		members.Add(fmt.Sprintf("127.0.%d.%d:1", i/200, i%200+1), "b")
	}
	p := &discovery.Prober{
		Address: "127.0.0.1:1", DataCentre: "a", Members: members, Pool: &peer.Pool{}, StateExchange: state, Configuration: noConfiguration{}, Logger: logger,
		Relays: func() []string { return nil }, Freshness: &discovery.Freshness{},
	}
	p.Run(t.Context())
	return p
}

// A drain that is announced while a probe is on its way must not wait for the next round that reaches the daemon.
func TestAChangeDuringAProbeIsTold(t *testing.T) {
	other := &otherDaemon{received: make(chan message.Probe, 100), release: make(chan struct{})}
	state := &ownState{}
	p := startProber(t, func(string) any { return other }, state)
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

// A connection may have gone silent for good, while a new one to the same daemon works.
func TestAChangeIsToldAgainWhenAProbeTimesOut(t *testing.T) {
	other := &otherDaemon{received: make(chan message.Probe, 100), release: make(chan struct{})}
	p := startProber(t, func(string) any { return other }, &ownState{})
	t.Cleanup(func() { close(other.release) })
	p.ProbeAll()
	<-other.received
	told := time.Now()
	select {
	case <-other.received:
		assert.Assert(t, time.Since(told) < 3*time.Second, "told again after %v", time.Since(told))
	case <-time.After(20 * time.Second):
		t.Fatal("the change was not told again within 20 s")
	}
}

// agedDaemon is a daemon that replies to each probe with a version and its age.
type agedDaemon struct{ reply message.Probe }

func (a *agedDaemon) Probe(_ *message.Probe, reply *message.Probe) error {
	*reply = a.reply
	return nil
}

func TestOnlyADaemonWithoutANewerConfigurationShowsThatTheOwnOneIsCurrent(t *testing.T) {
	for _, c := range []struct {
		name    string
		reply   message.Probe
		isKnown bool
	}{
		{"the same version", message.Probe{Age: time.Second, IsAgeKnown: true}, true},
		{"a newer version", message.Probe{Version: 7, Age: time.Second, IsAgeKnown: true}, false},
		{"a daemon of a release without ages", message.Probe{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startProber(t, func(string) any { return &agedDaemon{c.reply} }, &ownState{})
			started := time.Now()
			p.ProbeAll()
			if !c.isKnown {
				time.Sleep(300 * time.Millisecond)
				assert.Equal(t, p.Freshness.Age(time.Now()), discovery.UnknownAge)
				return
			}
			for p.Freshness.Age(time.Now()) == discovery.UnknownAge && time.Since(started) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			now := time.Now()
			age := p.Freshness.Age(now)
			assert.Assert(t, age >= time.Second && age <= time.Second+now.Sub(started), "age %v", age)
		})
	}
}

// hangingDaemon has a newer configuration, and leaves the first call that fetches it unanswered.
type hangingDaemon struct {
	agedDaemon
	fetched chan struct{}
	release chan struct{}
	first   sync.Once
}

func (h *hangingDaemon) Configuration(_ *message.Empty, _ *message.Document) error {
	h.fetched <- struct{}{}
	h.first.Do(func() { <-h.release })
	return nil
}

func TestAConfigurationIsFetchedAgainWhenTheFetchTimesOut(t *testing.T) {
	other := &hangingDaemon{fetched: make(chan struct{}, 100), release: make(chan struct{})}
	p := startProber(t, func(address string) any {
		other.reply = message.Probe{Record: member.Record{Address: address, DataCentre: "a"}, Version: 7}
		return other
	}, &ownState{})
	t.Cleanup(func() { close(other.release) })
	p.ProbeAll()
	fetches := make([]time.Time, 2)
	for i := range fetches {
		select {
		case <-other.fetched:
			fetches[i] = time.Now()
		case <-time.After(15 * time.Second):
			t.Fatalf("%d fetches within 15 s", i)
		}
	}
	took := fetches[1].Sub(fetches[0])
	assert.Assert(t, took < 3*time.Second, "fetched again after %v", took)
}
