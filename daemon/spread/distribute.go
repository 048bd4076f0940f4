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

// pushTimeout bounds one call that sends changes or a notice; the next candidate is tried after a timeout.
const pushTimeout = time.Second

// Receive puts pushed changes in force and forwards them within the scope of the request. When the changes are refused,
// as after a gap between versions, it pulls from the sender.
//
// It forwards the changes to other data centres first, since they need not wait for the hold requests of this one. It
// forwards them within its own data centre last, so that the hold requests are made before any member there puts the
// changes in force.
func (s *Spreader) Receive(request *peer.PushRequest) {
	s.Clock.Receive(request.Header.Stamp)
	if len(request.Changes) == 0 {
		return
	}
	newest := request.Changes[len(request.Changes)-1].Version
	if newest > s.Configuration.Version() {
		s.Recorder.Record(timeline.Event{Kind: timeline.KindVersionReceived, Version: uint64(newest), Subject: string(request.Header.From)})
	}
	if request.Scope.HasCentres {
		// The zero Members interval covers only the hash 0, so in effect no member of the own data centre.
		s.pushToScope(request.Changes, distribution.Scope{Centres: request.Scope.Centres, HasCentres: true})
	}
	if err := s.applyPushed(request); err != nil {
		s.ReportRefusal(err)
		s.HandleHeader(request.Header)
	}
	s.forward(request.Changes, request.Scope.Members)
}

// applyPushed puts pushed changes in force. For changes from another data centre it first asks other members to hold
// their version.
func (s *Spreader) applyPushed(request *peer.PushRequest) error {
	if s.IsLocal(request.Header.From) {
		return s.Configuration.Apply(request.Changes)
	}
	return s.ApplyAfterHold(request.Changes)
}

// ReportRefusal logs the error of a refused version. It skips changes that came out of order, since a pull fetches the
// missing ones.
func (s *Spreader) ReportRefusal(err error) {
	var refused *versionlog.RefusedError
	if errors.As(err, &refused) && refused.Reason() == versionlog.ReasonOrder {
		return
	}
	s.Logger.Warn("spread: version refused", "error", err)
}

// forward pushes changes to the members of an interval, unless it already forwarded their newest version there.
func (s *Spreader) forward(changes []versionlog.Change, i distribution.Interval) {
	if s.markForwarded(changes[len(changes)-1].Version, i) {
		s.pushToScope(changes, distribution.Scope{Members: i})
	}
}

// markForwarded records that version v is forwarded to an interval. It returns false when a newer version, or the same
// one to an interval that contains this one, was already forwarded.
func (s *Spreader) markForwarded(v declaration.Version, i distribution.Interval) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.forwarded
	if v < last.version || v == last.version && last.interval.From <= i.From && last.interval.To >= i.To {
		return false
	}
	s.forwarded = forwardRecord{version: v, interval: i}
	return true
}

func (s *Spreader) pushToScope(changes []versionlog.Change, scope distribution.Scope) {
	s.delegateScope(scope, func(to membership.Record, rest distribution.Scope) bool { return s.push(to, changes, rest) })
}

// push sends changes to one daemon and reports whether it answered.
func (s *Spreader) push(to membership.Record, changes []versionlog.Change, scope distribution.Scope) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	var reply peer.PushReply
	err := s.Pool.Call(ctx, to.PeerAddress, peer.MethodPush, &peer.PushRequest{Header: s.Header(), Changes: changes, Scope: scope}, &reply)
	if err == nil {
		s.Clock.Receive(reply.Header.Stamp)
	}
	return err == nil
}

// Publish pushes changes that this daemon committed. This daemon is the root of two delegation trees: one over the
// members of its data centre, and one over the other data centres.
func (s *Spreader) Publish(changes []versionlog.Change) {
	if len(changes) == 0 {
		return
	}
	s.forward(changes, distribution.FullInterval)
	// The zero Members interval covers only the hash 0, so in effect no member of the own data centre.
	s.pushToScope(changes, distribution.Scope{Centres: distribution.FullInterval, HasCentres: true})
}

// pull fetches the changes after the version in force from a member and puts them in force.
func (s *Spreader) pull(from membership.ID) {
	defer s.finishPull()
	r, ok := s.Roster.Find(from)
	if !ok {
		return
	}
	if err := s.PullFrom(r.PeerAddress); err != nil {
		s.Logger.Debug("spread: pull failed", "peer", from, "error", err)
	}
}

// finishPull tells the follower that the pull has ended, and which version is in force now.
func (s *Spreader) finishPull() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follower.HandleInForce(s.Configuration.Version())
	s.follower.HandlePulled()
}

// PullFrom fetches what follows the version in force, as changes or as an image, from the daemon at a peer address
// and puts it in force. It returns the error of the call, or that of a refused version.
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
	return s.ApplyAfterHold(reply.Changes)
}

// installImage decodes an image and puts its state in force.
func (s *Spreader) installImage(image []byte) error {
	var decoded versionlog.Image
	if err := record.Decode(image, &decoded); err != nil {
		return err
	}
	state, err := versionlog.Restore(decoded)
	if err != nil {
		return err
	}
	return s.InstallAfterHold(state)
}

// syncToHead reads the head of the version log. When it is newer than the version in force, syncToHead puts the missing
// changes in force and pushes them within the data centre. When it is older, syncToHead restores the log.
func (s *Spreader) syncToHead() {
	ctx, cancel := s.Storage.Context()
	defer cancel()
	inForce := s.Configuration.Version()
	head, err := s.Storage.Log.Head(ctx)
	s.Storage.RecordResult(err)
	switch {
	case err != nil:
		return
	case head.Version < inForce:
		if _, err := s.RestoreLog(ctx, head); err != nil {
			s.reportUnrestored(err)
		}
		return
	case head.Version <= s.Configuration.Version():
		return
	}
	changes, err := s.CatchUp(ctx, head.Version)
	if err != nil {
		s.ReportRefusal(err)
		return
	}
	s.PublishLocally(changes)
}

// PublishLocally pushes changes that this daemon read from the store to its own data centre. The relays of other data
// centres read the store themselves.
func (s *Spreader) PublishLocally(changes []versionlog.Change) {
	if len(changes) > 0 {
		s.forward(changes, distribution.FullInterval)
	}
}

// CatchUp reads the changes that follow the version in force from the store, at least up to version target, puts them
// in force and returns them. The one page that it reads reaches target, since pageSize of versionlog/record is not
// below SnapshotInterval. When more than SnapshotInterval versions are missing, it installs the whole state at target
// instead and returns no changes.
func (s *Spreader) CatchUp(ctx context.Context, target declaration.Version) ([]versionlog.Change, error) {
	state := s.Configuration.State()
	if target-state.Version() > record.SnapshotInterval {
		loaded, err := s.Storage.Log.Load(ctx, target)
		if err != nil {
			return nil, err
		}
		return nil, s.InstallAfterHold(loaded)
	}
	changes, err := s.Storage.Log.Changes(ctx, state.Version())
	if err != nil {
		return nil, err
	}
	return changes, s.ApplyAfterHold(changes)
}
