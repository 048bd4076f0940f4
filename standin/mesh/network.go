package mesh

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Network carries the connections between daemons and can isolate data centres from each other.
type Network struct {
	mu sync.Mutex
	// centres holds the data centre of each daemon by its peer address.
	centres map[string]string
	// isolated holds the data centres that are cut off from all others.
	isolated map[string]bool
	// open holds the open connections.
	open map[*connection]bool
}

// connection is an open connection from a daemon of one data centre to a daemon of the same or another one.
type connection struct {
	net.Conn
	// from and to are the data centres of the two daemons.
	from    string
	to      string
	network *Network
}

// Close closes the connection and removes it from the network.
func (c *connection) Close() error {
	c.network.mu.Lock()
	delete(c.network.open, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// register records the data centre of the daemon at a peer address.
func (n *Network) register(address, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.centres == nil {
		n.centres = map[string]string{}
		n.isolated = map[string]bool{}
		n.open = map[*connection]bool{}
	}
	n.centres[address] = centre
}

// Isolate closes the connections between a data centre and all others and refuses new ones until Reconnect.
func (n *Network) Isolate(centre string) {
	n.mu.Lock()
	n.isolated[centre] = true
	var cut []*connection
	for c := range n.open {
		if !n.isConnected(c.from, c.to) {
			cut = append(cut, c)
		}
	}
	n.mu.Unlock()
	for _, c := range cut {
		_ = c.Close()
	}
}

// Reconnect ends the isolation of a data centre.
func (n *Network) Reconnect(centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, centre)
}

// isConnected reports whether daemons of the two data centres can reach each other.
func (n *Network) isConnected(a, b string) bool { return a == b || !n.isolated[a] && !n.isolated[b] }

// dialer opens the connections of the daemons of one data centre.
type dialer struct {
	network *Network
	centre  string
}

func (n *Network) dialer(centre string) *dialer { return &dialer{network: n, centre: centre} }

// DialContext connects to a daemon; it fails when the data centre of either end is isolated from the other.
func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.network.mu.Lock()
	to := d.network.centres[address]
	isConnected := d.network.isConnected(d.centre, to)
	d.network.mu.Unlock()
	if !isConnected {
		return nil, eris.Errorf("data centre %s cannot reach data centre %s: one of them is isolated", d.centre, to)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, from: d.centre, to: to, network: d.network}
	d.network.mu.Lock()
	d.network.open[c] = true
	d.network.mu.Unlock()
	return c, nil
}

// Network returns the network between the daemons.
func (m *Mesh) Network() *Network { return &m.network }
