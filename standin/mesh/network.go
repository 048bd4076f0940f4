package mesh

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Network carries the connections between daemons and can part data centres from the others.
type Network struct {
	mu      sync.Mutex
	centres map[string]string
	parted  map[string]bool
	open    map[*link]bool
}

// link is an open connection between two data centres.
type link struct {
	net.Conn
	from    string
	to      string
	network *Network
}

// Close closes the connection and forgets it.
func (l *link) Close() error {
	l.network.mu.Lock()
	delete(l.network.open, l)
	l.network.mu.Unlock()
	return l.Conn.Close()
}

func (n *Network) note(address, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.centres == nil {
		n.centres = map[string]string{}
		n.parted = map[string]bool{}
		n.open = map[*link]bool{}
	}
	n.centres[address] = centre
}

// Part cuts a data centre off from the others, open connections included.
func (n *Network) Part(centre string) {
	n.mu.Lock()
	n.parted[centre] = true
	var cut []*link
	for l := range n.open {
		if !n.isJoined(l.from, l.to) {
			cut = append(cut, l)
		}
	}
	n.mu.Unlock()
	for _, l := range cut {
		_ = l.Close()
	}
}

// Join ends the cut of a data centre.
func (n *Network) Join(centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.parted, centre)
}

func (n *Network) isJoined(a, b string) bool { return a == b || !n.parted[a] && !n.parted[b] }

type dialer struct {
	network *Network
	centre  string
}

func (n *Network) dialer(centre string) *dialer { return &dialer{network: n, centre: centre} }

// DialContext refuses connections between parted data centres.
func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.network.mu.Lock()
	to := d.network.centres[address]
	isJoined := d.network.isJoined(d.centre, to)
	d.network.mu.Unlock()
	if !isJoined {
		return nil, eris.Errorf("data centres %s and %s are parted", d.centre, to)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l := &link{Conn: conn, from: d.centre, to: to, network: d.network}
	d.network.mu.Lock()
	d.network.open[l] = true
	d.network.mu.Unlock()
	return l, nil
}

// Network returns the network between the daemons.
func (m *Mesh) Network() *Network { return &m.network }
