package spread

import (
	"context"
	"errors"
	"time"

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

// Receive puts pushed changes in force, or pulls what is missing before them, and passes them on.
func (s *Spreader) Receive(q *peer.PushRequest) {
	s.Clock.Receive(q.Header.Stamp)
	if len(q.Changes) == 0 {
		return
	}
	newest := q.Changes[len(q.Changes)-1].Version
	if newest > s.Configuration.Version() {
		s.Recorder.Record(timeline.Event{Kind: timeline.KindVersionReceived, Version: uint64(newest), Subject: string(q.Header.From)})
	}
	if q.Scope.HasCentres {
		s.pushAll(q.Changes, distribution.Scope{Centres: q.Scope.Centres, HasCentres: true})
	}
	if err := s.put(q); err != nil {
		s.ReportRefusal(err)
		s.Hear(q.Header)
	}
	s.forward(q.Changes, q.Scope.Members)
}

// put puts pushed changes in force, by way of holders when they come from another data centre.
func (s *Spreader) put(q *peer.PushRequest) error {
	if s.IsLocal(q.Header.From) {
		return s.Configuration.Apply(q.Changes)
	}
	return s.Enter(q.Changes)
}

// ReportRefusal logs a refused version; one that is merely out of order is pulled and not worth a warning.
func (s *Spreader) ReportRefusal(err error) {
	var refused *versionlog.RefusedError
	if errors.As(err, &refused) && refused.Reason() == versionlog.ReasonOrder {
		return
	}
	s.Logger.Warn("spread: version refused", "error", err)
}

// forward passes changes on to the members of an interval, once.
func (s *Spreader) forward(changes []versionlog.Change, i distribution.Interval) {
	if s.claimForward(changes[len(changes)-1].Version, i) {
		s.pushAll(changes, distribution.Scope{Members: i})
	}
}

func (s *Spreader) claimForward(v declaration.Version, i distribution.Interval) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.forwarded
	if v < last.version || v == last.version && last.interval.From <= i.From && last.interval.To >= i.To {
		return false
	}
	s.forwarded = forwarding{version: v, interval: i}
	return true
}

func (s *Spreader) pushAll(changes []versionlog.Change, scope distribution.Scope) {
	s.each(scope, func(to membership.Record, rest distribution.Scope) bool { return s.pushTo(to, changes, rest) })
}

func (s *Spreader) pushTo(to membership.Record, changes []versionlog.Change, scope distribution.Scope) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	var reply peer.PushReply
	err := s.Pool.Call(ctx, to.PeerAddress, peer.MethodPush, &peer.PushRequest{Header: s.Header(), Changes: changes, Scope: scope}, &reply)
	if err == nil {
		s.Clock.Receive(reply.Header.Stamp)
	}
	return err == nil
}

// Publish spreads changes that this daemon committed: to its own data centre as the root of a tree, and to the
// other data centres as the root of another.
func (s *Spreader) Publish(changes []versionlog.Change) {
	if len(changes) == 0 {
		return
	}
	s.forward(changes, distribution.Everyone)
	s.pushAll(changes, distribution.Scope{Centres: distribution.Everyone, HasCentres: true})
}

// pull asks a peer for what follows the version in force.
func (s *Spreader) pull(from membership.ID) {
	defer s.endPull()
	r, ok := s.Roster.Find(from)
	if !ok {
		return
	}
	if err := s.PullFrom(r.PeerAddress); err != nil {
		s.Logger.Debug("spread: pull failed", "peer", from, "error", err)
	}
}

func (s *Spreader) endPull() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.HandleInForce(s.Configuration.Version())
	s.follower.HandlePulled()
}

// PullFrom asks the daemon at an address for what follows the version in force, and puts it in force.
func (s *Spreader) PullFrom(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timing.PullTimeout)
	defer cancel()
	var reply peer.PullReply
	request := peer.PullRequest{Header: s.Header(), After: s.Configuration.Version()}
	if err := s.Pool.Call(ctx, address, peer.MethodPull, &request, &reply); err != nil {
		return err
	}
	s.Clock.Receive(reply.Header.Stamp)
	if len(reply.Image) > 0 {
		return s.installImage(reply.Image)
	}
	if s.IsLocal(reply.Header.From) {
		return s.Configuration.Apply(reply.Changes)
	}
	return s.Enter(reply.Changes)
}

func (s *Spreader) installImage(data []byte) error {
	var m versionlog.Image
	if err := record.Decode(data, &m); err != nil {
		return err
	}
	state, err := versionlog.Restore(m)
	if err != nil {
		return err
	}
	return s.Install(state)
}

// readHead compares the head in the store with the version in force and catches up.
func (s *Spreader) readHead() {
	ctx, cancel := s.Storage.Context()
	defer cancel()
	head, err := s.Storage.Log.Head(ctx)
	s.Storage.Note(err)
	if err != nil || head.Version <= s.Configuration.Version() {
		return
	}
	changes, err := s.CatchUp(ctx, head.Version)
	if err != nil {
		s.ReportRefusal(err)
		return
	}
	s.PublishLocally(changes)
}

// PublishLocally spreads changes that this daemon read from the store to its own data centre; the relays of the
// others read them for themselves.
func (s *Spreader) PublishLocally(changes []versionlog.Change) {
	if len(changes) > 0 {
		s.forward(changes, distribution.Everyone)
	}
}

// CatchUp reads from the store what leads to a version and returns the changes that it put in force.
func (s *Spreader) CatchUp(ctx context.Context, target declaration.Version) ([]versionlog.Change, error) {
	state := s.Configuration.State()
	if target-state.Version() > record.SnapshotInterval {
		loaded, err := s.Storage.Log.Load(ctx, target)
		if err != nil {
			return nil, err
		}
		return nil, s.Install(loaded)
	}
	changes, err := s.Storage.Log.Changes(ctx, state.Version())
	if err != nil {
		return nil, err
	}
	return changes, s.Enter(changes)
}
