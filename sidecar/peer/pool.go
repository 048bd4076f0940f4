package peer

import (
	"sync"

	"siskinspar.example/sidecar/bandwidth"
	"siskinspar.example/sidecar/memory"
)

// TrafficClass selects one of the connections to a daemon, so that large transfers don't delay small calls.
type TrafficClass int

// The classes of traffic to a daemon; each has its own connection.
const (
	// TrafficControl carries probes, reservations and small requests.
	TrafficControl TrafficClass = iota
	// TrafficBulk carries calls with large answers, such as downloads and configurations.
	TrafficBulk
	// trafficClassCount is the number of classes.
	trafficClassCount
)

// Pool holds the connections to the other daemons and creates them on demand. It is safe for concurrent use.
type Pool struct {
	// Pacer limits the rate at which large calls are sent on all connections; nil means no limit. It is set before use.
	Pacer *bandwidth.Pacer
	// Memory bounds the replies that are being read on all connections; nil means no limit. It is set before use.
	Memory *memory.Budget

	mu sync.Mutex
	// connections is keyed by the address of the daemon.
	connections map[string]*[trafficClassCount]*Connection
}

// Connection returns the connection to the daemon at an address for a class of traffic.
func (p *Pool) Connection(address string, class TrafficClass) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections == nil {
		p.connections = map[string]*[trafficClassCount]*Connection{}
	}
	connections, ok := p.connections[address]
	if !ok {
		connections = p.newConnections(address)
		p.connections[address] = connections
	}
	return connections[class]
}

func (p *Pool) newConnections(address string) *[trafficClassCount]*Connection {
	var connections [trafficClassCount]*Connection
	for class := range trafficClassCount {
		connections[class] = &Connection{Address: address, Pacer: p.Pacer, Memory: p.Memory}
	}
	return &connections
}

// Close closes all connections and forgets them.
func (p *Pool) Close() {
	p.mu.Lock()
	connections := p.connections
	p.connections = nil
	p.mu.Unlock()
	for _, byClass := range connections {
		for _, c := range byClass {
			c.Close()
		}
	}
}
