package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// pathRPC is where the peer listener upgrades a connection to net/rpc.
	pathRPC = "/peer/rpc"
	// protocolRPC is the protocol named in the upgrade.
	protocolRPC = "net-rpc"
	// dialTimeout bounds the dial of a connection, and then again its TLS handshake and its upgrade.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 90 * time.Second
	// maximumClients is the number of kept connections above which the pool closes the least recently used one.
	maximumClients = 256
)

// client is the connection to one peer.
type client struct {
	// ready is closed once the dial has ended; rpc and err are set before.
	ready    chan struct{}
	rpc      *rpc.Client
	err      error
	lastUsed time.Time
}

// Dialer opens network connections to peers; net.Dialer implements it.
type Dialer interface {
	// DialContext connects to an address as net.Dialer.DialContext does.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps one connection to each peer for remote calls; it is safe for concurrent use.
//
// Its exported fields are set before use.
type Pool struct {
	// Identity authenticates this daemon to its peers.
	Identity *Identity
	// Traffic counts the bytes of all connections of the pool.
	Traffic *Traffic
	// Dialer opens the connections.
	Dialer Dialer

	mu      sync.Mutex
	clients map[string]*client
}

// Call performs a remote call at an address and fills in reply.
//
// It returns an error when the peer can't be reached, the method fails or the context ends first. An error that the
// method returns leaves the connection open; any other error closes it. The end of the context closes it too, since the
// peer may not be responding.
func (p *Pool) Call(ctx context.Context, address, method string, request, reply any) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return eris.Wrapf(err, "dial %s", address)
	}
	call := c.rpc.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		p.drop(address, c)
		return eris.Wrapf(ctx.Err(), "%s at %s", method, address)
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	if _, isMethodError := call.Error.(rpc.ServerError); !isMethodError {
		p.drop(address, c)
	}
	return eris.Wrapf(call.Error, "%s at %s", method, address)
}

// connect returns the client of an address, which the first caller dials while the others wait for it.
func (p *Pool) connect(ctx context.Context, address string) (*client, error) {
	c, isNew := p.getOrAdd(address)
	if isNew {
		c.rpc, c.err = p.dial(address)
		if c.err != nil {
			p.drop(address, c)
		}
		close(c.ready)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.ready:
		return c, c.err
	}
}

// getOrAdd returns the client of an address, and true when it is new and the caller must dial it.
func (p *Pool) getOrAdd(address string) (*client, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		c.lastUsed = time.Now()
		return c, false
	}
	if p.clients == nil {
		p.clients = map[string]*client{}
	}
	c := &client{ready: make(chan struct{}), lastUsed: time.Now()}
	p.clients[address] = c
	p.evict()
	return c, true
}

// evict closes the connections unused for idleTimeout, and the least recently used one when more than maximumClients
// remain; it skips clients that are still being dialled. The caller holds the mutex.
func (p *Pool) evict() {
	var oldest string
	for address, c := range p.clients {
		if !isReady(c) {
			continue
		}
		if time.Since(c.lastUsed) > idleTimeout {
			p.close(address, c)
			continue
		}
		if oldest == "" || c.lastUsed.Before(p.clients[oldest].lastUsed) {
			oldest = address
		}
	}
	if len(p.clients) > maximumClients && oldest != "" {
		p.close(oldest, p.clients[oldest])
	}
}

// isReady reports whether the dial of a client has ended.
func isReady(c *client) bool {
	select {
	case <-c.ready:
		return true
	default:
		return false
	}
}

// close removes a client and closes its connection; the caller holds the mutex.
func (p *Pool) close(address string, c *client) {
	delete(p.clients, address)
	if c.rpc != nil {
		_ = c.rpc.Close()
	}
}

// drop removes a client from the pool and closes its connection; it does nothing if the pool no longer holds the client.
func (p *Pool) drop(address string, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == c {
		p.close(address, c)
	}
}

// Close closes all connections, except those that are still being dialled.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if isReady(c) {
			p.close(address, c)
		}
	}
}

// dial opens a connection and upgrades it to net/rpc; it ignores the context of the call that caused it, since other
// calls may wait for the same connection.
func (p *Pool) dial(address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if config := p.Identity.ClientTLS(); config != nil {
		conn = tls.Client(conn, withServerName(config, address))
	}
	upgraded, err := p.upgrade(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return rpc.NewClient(upgraded), nil
}

// withServerName returns a copy of the configuration that verifies the peer's certificate against its host.
func withServerName(config *tls.Config, address string) *tls.Config {
	named := config.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		named.ServerName = host
	}
	return named
}

// upgrade asks the peer listener to switch the connection from HTTP to net/rpc.
func (p *Pool) upgrade(conn net.Conn) (net.Conn, error) {
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	request, err := http.NewRequest(http.MethodGet, "http://"+conn.RemoteAddr().String()+pathRPC, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocolRPC)
	p.Identity.Sign(request.Header)
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	reader := newUpgradeReader(conn)
	response, err := http.ReadResponse(reader.Reader, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, eris.Errorf("peer refused the upgrade to net-rpc: %s", response.Status)
	}
	_ = conn.SetDeadline(time.Time{})
	return &countedConn{Conn: conn, reader: reader.messages(), traffic: p.Traffic}, nil
}
