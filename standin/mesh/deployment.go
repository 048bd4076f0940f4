package mesh

import (
	"fmt"

	"siskinspar.example/declaration"
	"siskinspar.example/standin/backend"
)

// Pool describes the backend servers of one service.
type Pool struct {
	// Service is the value of the service label and the prefix of the names of the backend servers.
	Service string
	// Servers is the number of backend servers.
	Servers int
	// Slots is the number of requests that each backend server runs at once.
	Slots int
	// Connections is the number of connections that each backend server announces that it accepts.
	Connections int
}

// Deployment describes the data centres and backend servers of one organisation.
type Deployment struct {
	// Site is the value of the site label of each daemon and the prefix of the names of the data centres.
	Site string
	// Centres is the number of data centres.
	Centres int
	// Pools holds the backend servers by service; a daemon runs beside each backend server.
	Pools []Pool
}

// Kingston is the deployment of the loans division: three data centres, ten backend servers of the member
// desk and three of the branch ledger.
var Kingston = Deployment{Site: "kingston", Centres: 3, Pools: []Pool{
	{Service: "member-desk", Servers: 10, Slots: 10, Connections: 120},
	{Service: "branch-ledger", Servers: 3, Slots: 10, Connections: 120},
}}

// Kathmandu is the deployment of the rickshaw fleet: four data centres, seven backend servers of the driver
// desk and four of the garage hub.
var Kathmandu = Deployment{Site: "kathmandu", Centres: 4, Pools: []Pool{
	{Service: "driver-desk", Servers: 7, Slots: 6, Connections: 110},
	{Service: "garage-hub", Servers: 4, Slots: 6, Connections: 110},
}}

// Deploy starts the backend servers of a deployment, each with a daemon beside it, and assigns them to the data centres
// round-robin. On an error, what has started keeps running until Stop.
func (m *Mesh) Deploy(d Deployment) error {
	index := 0
	for _, p := range d.Pools {
		for i := range p.Servers {
			centre := fmt.Sprintf("%s-%c", d.Site, 'a'+index%d.Centres)
			name := fmt.Sprintf("%s-%d", p.Service, i+1)
			n, err := m.AddDaemon(name, centre, declaration.Labels{"site": d.Site, "service": p.Service})
			if err != nil {
				return err
			}
			s := &backend.Server{Name: name, Slots: p.Slots}
			if _, err := n.AddBackend(s, declaration.Labels{"service": p.Service}, p.Connections); err != nil {
				return err
			}
			index++
		}
	}
	return nil
}

// Backends returns the running backend servers of all daemons, in the order of Nodes.
func (m *Mesh) Backends() []*Backend {
	var all []*Backend
	for _, n := range m.nodes {
		all = append(all, n.backends...)
	}
	return all
}
