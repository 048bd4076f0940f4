package mesh

import (
	"fmt"

	"siskinspar.example/declaration"
	"siskinspar.example/standin/backend"
)

// Pool describes the backend servers of one service.
type Pool struct {
	Service     string
	Servers     int
	Slots       int
	Connections int
}

// Deployment describes the daemons and backend servers of one user.
type Deployment struct {
	Site    string
	Centres int
	Pools   []Pool
}

// Kingston is the deployment of the loans division: three data centres, ten servers of the member desk and
// three of the branch ledger.
var Kingston = Deployment{Site: "kingston", Centres: 3, Pools: []Pool{
	{Service: "member-desk", Servers: 10, Slots: 10, Connections: 120},
	{Service: "branch-ledger", Servers: 3, Slots: 10, Connections: 120},
}}

// Kathmandu is the deployment of the rickshaw fleet: four data centres, seven servers of the driver desk and
// four of the garage hub.
var Kathmandu = Deployment{Site: "kathmandu", Centres: 4, Pools: []Pool{
	{Service: "driver-desk", Servers: 7, Slots: 6, Connections: 110},
	{Service: "garage-hub", Servers: 4, Slots: 6, Connections: 110},
}}

// Deploy starts one daemon beside each backend server, spread over the data centres in turn.
func (m *Mesh) Deploy(d Deployment) error {
	at := 0
	for _, p := range d.Pools {
		for i := range p.Servers {
			centre := fmt.Sprintf("%s-%c", d.Site, 'a'+at%d.Centres)
			name := fmt.Sprintf("%s-%d", p.Service, i+1)
			n, err := m.Add(name, centre, declaration.Labels{"site": d.Site, "service": p.Service})
			if err != nil {
				return err
			}
			s := &backend.Server{Name: name, Slots: p.Slots}
			if _, err := n.AddBackend(s, declaration.Labels{"service": p.Service}, p.Connections); err != nil {
				return err
			}
			at++
		}
	}
	return nil
}

// Backends returns all backend servers of the mesh.
func (m *Mesh) Backends() []*Backend {
	var all []*Backend
	for _, n := range m.nodes {
		all = append(all, n.backends...)
	}
	return all
}
