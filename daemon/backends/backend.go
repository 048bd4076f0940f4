package backends

import (
	"net"
	"net/http"
	"time"

	"siskinspar.example/daemon/gate"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/request/admission"
)

// Backend is one announced backend server with the gate before its slots.
type Backend struct {
	name         string
	address      string
	announcement operatorapi.Announcement
	expires      time.Time
	isDraining   bool
	isHealthy    bool
	failures     int
	gate         *gate.Gate
	reused       *http.Transport
	single       *http.Transport
}

// Name returns the announced name.
func (b *Backend) Name() string { return b.name }

// Address returns the IP number and port of the backend server.
func (b *Backend) Address() string { return b.address }

// Gate returns the gate before its slots.
func (b *Backend) Gate() *gate.Gate { return b.gate }

// Transport returns the connections to the backend server.
//
// A request that must not be sent twice gets a connection of its own, since a
// transport sends a request again when a reused connection was closed.
func (b *Backend) Transport(isUnrepeatable bool) *http.Transport {
	if isUnrepeatable {
		return b.single
	}
	return b.reused
}

func newBackend(a operatorapi.Announcement, l admission.Limits) *Backend {
	return &Backend{
		name:         a.Name,
		address:      a.Address,
		announcement: a,
		isHealthy:    true,
		gate:         gate.New(l),
		reused:       newTransport(a.Connections),
		single:       newSingleTransport(),
	}
}

// connectTimeout bounds the set-up of a connection to a backend server.
const connectTimeout = time.Second

func newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxConnsPerHost:       connections,
		MaxIdleConnsPerHost:   connections,
		IdleConnTimeout:       time.Minute,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,
	}
}

func newSingleTransport() *http.Transport {
	t := newTransport(0)
	t.DisableKeepAlives = true
	return t
}

func (b *Backend) close() {
	b.reused.CloseIdleConnections()
	b.single.CloseIdleConnections()
}
