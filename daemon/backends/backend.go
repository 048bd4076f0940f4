package backends

import (
	"net"
	"net/http"
	"time"

	"siskinspar.example/daemon/gate"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/request/admission"
)

// Backend is one announced backend server with its gate and its connections. Fields that change after the first
// announcement are guarded by the lock of the table.
type Backend struct {
	name         string
	address      string
	announcement operatorapi.Announcement
	expires      time.Time
	isDraining   bool
	isHealthy    bool
	failedProbes int
	gate         *gate.Gate
	pooled       *http.Transport
	singleUse    *http.Transport
}

// Name returns the announced name.
func (b *Backend) Name() string { return b.name }

// Address returns the announced IP number and port of the backend server.
func (b *Backend) Address() string { return b.address }

// Gate returns the gate that admits requests to the slots of the backend server.
func (b *Backend) Gate() *gate.Gate { return b.gate }

// Transport returns the HTTP transport to the backend server: for true the one for unrepeatable requests, and for false
// the one that reuses connections.
//
// An unrepeatable request gets a connection of its own, since an http.Transport may send a request again when the
// reused connection was closed.
func (b *Backend) Transport(isUnrepeatable bool) *http.Transport {
	if isUnrepeatable {
		return b.singleUse
	}
	return b.pooled
}

func newBackend(a operatorapi.Announcement, limits admission.Limits) *Backend {
	return &Backend{
		name:         a.Name,
		address:      a.Address,
		announcement: a,
		isHealthy:    true,
		gate:         gate.New(limits),
		pooled:       newTransport(a.Connections),
		singleUse:    newSingleUseTransport(),
	}
}

const (
	// connectTimeout is the timeout for the set-up of a connection to a backend server.
	connectTimeout = time.Second
	// MaximumHeadSize bounds the heads of one answer of a backend server in bytes: its own and those of the interim answers
	// before it.
	MaximumHeadSize = 64 << 10
)

func newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxConnsPerHost:       connections,
		MaxIdleConnsPerHost:   connections,
		IdleConnTimeout:       time.Minute,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,

		MaxResponseHeaderBytes: MaximumHeadSize,
	}
}

func newSingleUseTransport() *http.Transport {
	t := newTransport(0)
	t.DisableKeepAlives = true
	return t
}

func (b *Backend) close() {
	b.pooled.CloseIdleConnections()
	b.singleUse.CloseIdleConnections()
}
