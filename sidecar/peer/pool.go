package peer

import (
	"sync"

	"siskinspar.example/sidecar/bandwidth"
)

// Lane parts calls that may take long on the wire from the others.
type Lane int

// The lanes to one daemon.
const (
	// LaneControl carries probes, reservations and small requests.
	LaneControl Lane = iota
	// LaneBulk carries large answers.
	LaneBulk
	laneCount
)

// Pool holds the links to the other daemons; it is safe for concurrent use.
type Pool struct {
	// Pacer paces large calls; nil paces nothing. It is set before use.
	Pacer *bandwidth.Pacer

	mu    sync.Mutex
	links map[string]*[laneCount]*Link
}

// Link returns the link to a daemon on a lane.
func (p *Pool) Link(address string, lane Lane) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links == nil {
		p.links = map[string]*[laneCount]*Link{}
	}
	links, ok := p.links[address]
	if !ok {
		links = p.newLinks(address)
		p.links[address] = links
	}
	return links[lane]
}

func (p *Pool) newLinks(address string) *[laneCount]*Link {
	var links [laneCount]*Link
	for lane := range laneCount {
		links[lane] = &Link{Address: address, Pacer: p.Pacer}
	}
	return &links
}

// Close closes all links.
func (p *Pool) Close() {
	p.mu.Lock()
	links := p.links
	p.links = nil
	p.mu.Unlock()
	for _, pair := range links {
		for _, l := range pair {
			l.Close()
		}
	}
}
