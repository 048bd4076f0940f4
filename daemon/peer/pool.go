package peer

import (
	"bufio"
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
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// idleTime is how long an unused connection is kept.
	idleTime = 90 * time.Second
	// maximumClients bounds the connections kept to peers.
	maximumClients = 256
)

type client struct {
	ready chan struct{}
	rpc   *rpc.Client
	err   error
	used  time.Time
}

// Dialer opens connections to peers.
type Dialer interface {
	// DialContext has the meaning of net.Dialer.DialContext.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps connections to peers; it is safe for concurrent use.
type Pool struct {
	// Identity, Traffic and Dialer are set before use.
	Identity *Identity
	Traffic  *Traffic
	Dialer   Dialer

	mu      sync.Mutex
	clients map[string]*client
}

// Call performs a remote call; when the context ends first, the connection is closed, since its peer may be frozen.
func (p *Pool) Call(ctx context.Context, address, method string, request, reply any) error {
	c, err := p.client(ctx, address)
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
	if _, isAnswer := call.Error.(rpc.ServerError); !isAnswer {
		p.drop(address, c)
	}
	return eris.Wrapf(call.Error, "%s at %s", method, address)
}

func (p *Pool) client(ctx context.Context, address string) (*client, error) {
	c, isNew := p.reserve(address)
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

func (p *Pool) reserve(address string) (*client, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		c.used = time.Now()
		return c, false
	}
	if p.clients == nil {
		p.clients = map[string]*client{}
	}
	c := &client{ready: make(chan struct{}), used: time.Now()}
	p.clients[address] = c
	p.evict()
	return c, true
}

// evict closes idle connections, and the longest unused one when there are too many.
func (p *Pool) evict() {
	var oldest string
	for address, c := range p.clients {
		if !isReady(c) {
			continue
		}
		if time.Since(c.used) > idleTime {
			p.close(address, c)
			continue
		}
		if oldest == "" || c.used.Before(p.clients[oldest].used) {
			oldest = address
		}
	}
	if len(p.clients) > maximumClients && oldest != "" {
		p.close(oldest, p.clients[oldest])
	}
}

func isReady(c *client) bool {
	select {
	case <-c.ready:
		return true
	default:
		return false
	}
}

func (p *Pool) close(address string, c *client) {
	delete(p.clients, address)
	if c.rpc != nil {
		_ = c.rpc.Close()
	}
}

func (p *Pool) drop(address string, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == c {
		p.close(address, c)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if isReady(c) {
			p.close(address, c)
		}
	}
}

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

func withServerName(config *tls.Config, address string) *tls.Config {
	named := config.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		named.ServerName = host
	}
	return named
}

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
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, eris.Errorf("peer answered %s", response.Status)
	}
	_ = conn.SetDeadline(time.Time{})
	return &countedConn{Conn: conn, reader: reader, traffic: p.Traffic}, nil
}
