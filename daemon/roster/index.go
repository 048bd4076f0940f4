package roster

import (
	"cmp"
	"slices"

	"siskinspar.example/declaration"
	"siskinspar.example/declaration/snapshot"
	"siskinspar.example/membership"
	"siskinspar.example/request/routing"
)

// index caches the candidates of each requested route, and updates only those of the instances that changed.
type index struct {
	// version is the version of the snapshot that the last request named.
	version declaration.Version
	// routes holds the candidates by the name of the intent.
	routes map[string]*candidates
	// changed holds the instances that changed since routes was updated.
	changed map[membership.ID]bool
}

// candidates holds the backend servers that may serve one route.
type candidates struct {
	route    snapshot.Route
	byMember map[membership.ID][]routing.Candidate
	// list holds all of byMember, sorted by instance and backend server. It is replaced and never changed, since
	// callers of Roster.Candidates keep it.
	list []routing.Candidate
	// isUsed is set when the route was requested since the last change of version.
	isUsed bool
}

// markChanged marks instances whose candidates have to be updated; there is nothing to update without cached routes.
func (x *index) markChanged(ids []membership.ID) {
	if len(x.routes) == 0 {
		return
	}
	for _, id := range ids {
		x.changed[id] = true
	}
}

// Candidates returns the backend servers that may serve a route of a snapshot, sorted by instance and backend server.
// It leaves out those that drain or are in lost data centres. The caller must not change the list.
func (r *Roster) Candidates(compiled *snapshot.Snapshot, route snapshot.Route) []routing.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &r.index
	if x.routes == nil {
		x.routes = map[string]*candidates{}
		x.changed = map[membership.ID]bool{}
	}
	if x.version != compiled.Version() {
		x.prune(compiled.Version())
	}
	r.updateChanged()
	name := route.Intent().Name
	if c, ok := x.routes[name]; ok && c.isCurrentFor(route) {
		c.isUsed = true
		return r.reachable(c.list)
	}
	c := &candidates{route: route, isUsed: true, byMember: map[membership.ID][]routing.Candidate{}}
	for _, member := range r.Machine.Serving() {
		c.update(member)
	}
	c.rebuildList()
	x.routes[name] = c
	return r.reachable(c.list)
}

// reachable returns a list without the backend servers in lost data centres; it doesn't change the list itself.
func (r *Roster) reachable(list []routing.Candidate) []routing.Candidate {
	isLost := func(c routing.Candidate) bool { return r.Machine.IsLost(c.DataCentre()) }
	if !slices.ContainsFunc(list, isLost) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), isLost)
}

// prune drops the routes that were not requested while the previous version was in use, and switches to version v.
func (x *index) prune(v declaration.Version) {
	for name, c := range x.routes {
		if !c.isUsed {
			delete(x.routes, name)
		}
		c.isUsed = false
	}
	x.version = v
}

// isCurrentFor reports whether the candidates belong to the same declarations as the route. It compares pointers, since
// a declaration that a new version doesn't change keeps its pointer.
func (c *candidates) isCurrentFor(route snapshot.Route) bool {
	return c.route.Intent() == route.Intent() && c.route.Service() == route.Service()
}

// updateChanged updates the cached candidates of the instances that changed since the last call.
func (r *Roster) updateChanged() {
	if len(r.index.changed) == 0 {
		return
	}
	for _, c := range r.index.routes {
		isChanged := false
		for id := range r.index.changed {
			member, _ := r.Machine.Find(id)
			member.ID = id
			isChanged = c.update(member) || isChanged
		}
		if isChanged {
			c.rebuildList()
		}
	}
	clear(r.index.changed)
}

// update replaces the candidates of one member, and reports whether the member had candidates before or has any now.
func (c *candidates) update(member membership.Record) bool {
	_, hadAny := c.byMember[member.ID]
	found := c.match(member)
	if len(found) == 0 {
		delete(c.byMember, member.ID)
		return hadAny
	}
	c.byMember[member.ID] = found
	return true
}

// match returns the backend servers of a serving member that the route selects, without draining ones.
func (c *candidates) match(member membership.Record) []routing.Candidate {
	if !member.IsServing() {
		return nil
	}
	var found []routing.Candidate
	for _, b := range member.BackendServers {
		if b.IsDraining || !c.route.Selects(membership.Lookup(b.Labels)) {
			continue
		}
		e := routing.Endpoint{Instance: member.ID, Backend: b.Name}
		found = append(found, routing.NewCandidate(e, member.PeerAddress, member.DataCentre, b.Slots))
	}
	return found
}

// rebuildList merges the candidates of all members into a new sorted list.
func (c *candidates) rebuildList() {
	list := make([]routing.Candidate, 0, len(c.byMember))
	for _, found := range c.byMember {
		list = append(list, found...)
	}
	slices.SortFunc(list, func(a, b routing.Candidate) int {
		return cmp.Or(cmp.Compare(a.Endpoint().Instance, b.Endpoint().Instance), cmp.Compare(a.Endpoint().Backend, b.Endpoint().Backend))
	})
	c.list = list
}
