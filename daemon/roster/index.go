package roster

import (
	"cmp"
	"slices"

	"siskinspar.example/declaration"
	"siskinspar.example/declaration/snapshot"
	"siskinspar.example/membership"
	"siskinspar.example/request/routing"
)

// index keeps the candidates of each route that was asked for and updates only the instances that changed.
type index struct {
	version declaration.Version
	routes  map[string]*candidates
	touched map[membership.ID]bool
}

type candidates struct {
	route    snapshot.Route
	byMember map[membership.ID][]routing.Candidate
	list     []routing.Candidate
	isUsed   bool
}

func (x *index) touch(ids []membership.ID) {
	if len(x.routes) == 0 {
		return
	}
	for _, id := range ids {
		x.touched[id] = true
	}
}

// Candidates returns the backend servers that may serve a route of a snapshot, without draining ones.
func (r *Roster) Candidates(n *snapshot.Snapshot, route snapshot.Route) []routing.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &r.index
	if x.routes == nil {
		x.routes = map[string]*candidates{}
		x.touched = map[membership.ID]bool{}
	}
	if x.version != n.Version() {
		x.prune(n.Version())
	}
	r.refresh()
	name := route.Intent().Name
	if c, ok := x.routes[name]; ok && c.isFor(route) {
		c.isUsed = true
		return r.reachable(c.list)
	}
	c := &candidates{route: route, isUsed: true, byMember: map[membership.ID][]routing.Candidate{}}
	for _, member := range r.Machine.Serving() {
		c.update(member)
	}
	c.rebuild()
	x.routes[name] = c
	return r.reachable(c.list)
}

// reachable leaves out the backend servers in lost data centres.
func (r *Roster) reachable(list []routing.Candidate) []routing.Candidate {
	isLost := func(c routing.Candidate) bool { return r.Machine.IsLost(c.DataCentre()) }
	if !slices.ContainsFunc(list, isLost) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), isLost)
}

// prune drops the routes that were not asked for since the version before.
func (x *index) prune(v declaration.Version) {
	for name, c := range x.routes {
		if !c.isUsed {
			delete(x.routes, name)
		}
		c.isUsed = false
	}
	x.version = v
}

// isFor reports whether the candidates are those of the route: declarations that a version leaves alone keep their identity.
func (c *candidates) isFor(route snapshot.Route) bool {
	return c.route.Intent() == route.Intent() && c.route.Service() == route.Service()
}

func (r *Roster) refresh() {
	if len(r.index.touched) == 0 {
		return
	}
	for _, c := range r.index.routes {
		isChanged := false
		for id := range r.index.touched {
			member, _ := r.Machine.Find(id)
			member.ID = id
			isChanged = c.update(member) || isChanged
		}
		if isChanged {
			c.rebuild()
		}
	}
	clear(r.index.touched)
}

// update replaces the candidates of one member and reports whether there were or are any.
func (c *candidates) update(member membership.Record) bool {
	_, had := c.byMember[member.ID]
	found := c.match(member)
	if len(found) == 0 {
		delete(c.byMember, member.ID)
		return had
	}
	c.byMember[member.ID] = found
	return true
}

func (c *candidates) match(member membership.Record) []routing.Candidate {
	if !member.IsServing() {
		return nil
	}
	var found []routing.Candidate
	for _, b := range member.BackendServers {
		if b.IsDraining || !c.route.Reaches(membership.Lookup(b.Labels)) {
			continue
		}
		e := routing.Endpoint{Instance: member.ID, Backend: b.Name}
		found = append(found, routing.NewCandidate(e, member.PeerAddress, member.DataCentre, b.Slots))
	}
	return found
}

func (c *candidates) rebuild() {
	list := make([]routing.Candidate, 0, len(c.byMember))
	for _, found := range c.byMember {
		list = append(list, found...)
	}
	slices.SortFunc(list, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(a.Endpoint().Instance, b.Endpoint().Instance), cmp.Compare(a.Endpoint().Backend, b.Endpoint().Backend))
	})
	c.list = list
}
