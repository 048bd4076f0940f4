package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinspar.example/daemon/configuration"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
	"siskinspar.example/versionlog/record"
)

// pushTimeout bounds one push; a candidate that doesn't answer is passed over for the next.
const pushTimeout = time.Second

// receive puts pushed changes in force, or pulls what is missing before them, and passes them on.
func (n *Node) receive(q *peer.PushRequest) {
	n.Clock.Receive(q.Header.Stamp)
	if len(q.Changes) == 0 {
		return
	}
	newest := q.Changes[len(q.Changes)-1].Version
	if newest > n.Configuration.Version() {
		n.Recorder.Record(timeline.Event{Kind: timeline.KindVersionReceived, Version: uint64(newest), Subject: string(q.Header.From)})
	}
	if err := n.put(q); err != nil {
		n.reportRefusal(err)
		n.hear(q.Header)
	}
	n.forward(q.Changes, q.Interval)
}

// put puts pushed changes in force, by way of holders when they come from another data centre.
func (n *Node) put(q *peer.PushRequest) error {
	if n.isLocal(q.Header.From) {
		return n.Configuration.Apply(q.Changes)
	}
	return n.enter(q.Changes)
}

func (n *Node) isLocal(id membership.ID) bool {
	r, ok := n.Roster.Find(id)
	return ok && r.DataCentre == n.Roster.Self().DataCentre
}

// reportRefusal logs a refused version; one that is merely out of order is pulled and not worth a warning.
func (n *Node) reportRefusal(err error) {
	var refused *versionlog.RefusedError
	if errors.As(err, &refused) && refused.Reason() == versionlog.ReasonOrder {
		return
	}
	n.Logger.Warn("control: version refused", "error", err)
}

// forward passes changes on to the members of an interval, once.
func (n *Node) forward(changes []versionlog.Change, i distribution.Interval) {
	newest := changes[len(changes)-1].Version
	if !n.claimForward(newest, i) {
		return
	}
	own := n.Roster.Self()
	for _, d := range distribution.Spread(n.Roster.Group(own.DataCentre), own.ID, i) {
		n.workers.try(func() { n.push(changes, d) })
	}
}

func (n *Node) claimForward(v declaration.Version, i distribution.Interval) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.forwarded
	if v < last.version || v == last.version && last.interval.From <= i.From && last.interval.To >= i.To {
		return false
	}
	n.forwarded = forwarding{version: v, interval: i}
	return true
}

func (n *Node) push(changes []versionlog.Change, d distribution.Delegation) {
	for _, candidate := range d.Candidates() {
		if n.pushTo(candidate, changes, d.Interval()) {
			return
		}
	}
}

func (n *Node) pushTo(to membership.Record, changes []versionlog.Change, i distribution.Interval) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	var reply peer.PushReply
	err := n.Pool.Call(ctx, to.PeerAddress, peer.MethodPush, &peer.PushRequest{Header: n.header(), Changes: changes, Interval: i}, &reply)
	if err == nil {
		n.Clock.Receive(reply.Header.Stamp)
	}
	return err == nil
}

// publish spreads changes that this daemon committed or read from the store: to its own data centre as the
// root of a tree, and to one relay of each other data centre.
func (n *Node) publish(changes []versionlog.Change) {
	if len(changes) == 0 {
		return
	}
	n.forward(changes, distribution.Everyone)
	own := n.Roster.Self()
	for _, d := range n.Roster.DataCentres() {
		if d != own.DataCentre && !n.Roster.IsLost(d) {
			n.workers.try(func() { n.pushToCentre(changes, d) })
		}
	}
}

func (n *Node) pushToCentre(changes []versionlog.Change, d membership.DataCentre) {
	for _, relay := range n.Roster.Relays(d) {
		if n.pushTo(relay, changes, distribution.Everyone) {
			return
		}
	}
}

// pull asks a peer for what follows the version in force.
func (n *Node) pull(from membership.ID) {
	defer n.endPull()
	r, ok := n.Roster.Find(from)
	if !ok {
		return
	}
	if err := n.pullFrom(r.PeerAddress); err != nil {
		n.Logger.Debug("control: pull failed", "peer", from, "error", err)
	}
}

func (n *Node) endPull() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.follower.HandleInForce(n.Configuration.Version())
	n.follower.HandlePulled()
}

func (n *Node) pullFrom(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), n.Distribution.PullTimeout)
	defer cancel()
	var reply peer.PullReply
	request := peer.PullRequest{Header: n.header(), After: n.Configuration.Version()}
	if err := n.Pool.Call(ctx, address, peer.MethodPull, &request, &reply); err != nil {
		return err
	}
	n.Clock.Receive(reply.Header.Stamp)
	if len(reply.Image) > 0 {
		return n.installImage(reply.Image)
	}
	if n.isLocal(reply.Header.From) {
		return n.Configuration.Apply(reply.Changes)
	}
	return n.enter(reply.Changes)
}

func (n *Node) installImage(data []byte) error {
	var m versionlog.Image
	if err := record.Decode(data, &m); err != nil {
		return err
	}
	state, err := versionlog.Restore(m)
	if err != nil {
		return err
	}
	return n.install(state)
}

// readHead compares the head in the store with the version in force and catches up.
func (n *Node) readHead() {
	ctx, cancel := n.storeContext()
	defer cancel()
	head, err := n.Log.Head(ctx)
	n.noteStore(err)
	if err != nil || head.Version <= n.Configuration.Version() {
		return
	}
	changes, err := n.catchUp(ctx, head.Version)
	if err != nil {
		n.reportRefusal(err)
		return
	}
	n.publish(changes)
}

// catchUp reads from the store what leads to a version and returns the changes that it put in force.
func (n *Node) catchUp(ctx context.Context, target declaration.Version) ([]versionlog.Change, error) {
	state := n.Configuration.State()
	if target-state.Version() > record.SnapshotInterval {
		loaded, err := n.Log.Load(ctx, target)
		if err != nil {
			return nil, err
		}
		return nil, n.install(loaded)
	}
	changes, err := n.Log.Changes(ctx, state.Version())
	if err != nil {
		return nil, err
	}
	return changes, n.enter(changes)
}

// imageCache keeps the encoded image of one version for the daemons that ask for it.
type imageCache struct {
	mu      sync.Mutex
	version declaration.Version
	data    []byte
}

func (c *imageCache) get(h *configuration.Holder) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := h.State()
	if c.data != nil && c.version == state.Version() {
		return c.data, nil
	}
	data, err := record.Encode(state.Image())
	if err != nil {
		return nil, err
	}
	c.version = state.Version()
	c.data = data
	return data, nil
}
