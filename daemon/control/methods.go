package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/daemon/directory"
	"siskinspar.example/daemon/peer"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
)

// Methods are the remote methods that a daemon serves to its peers over net/rpc. The reply of each one carries the
// header of this daemon.
type Methods struct {
	node *Node
	// joinSlots is a semaphore that limits the joining daemons that are served at once to maximumJoins.
	joinSlots chan struct{}
}

// maximumJoins is the number of joining daemons that are served at once; further ones are refused and try another
// daemon or retry later.
const maximumJoins = 8

// NewMethods returns the remote methods of a node.
func NewMethods(n *Node) *Methods {
	return &Methods{node: n, joinSlots: make(chan struct{}, maximumJoins)}
}

// admitJoin takes a slot for a joining daemon and returns the function that releases it, or an error when none is free.
func (m *Methods) admitJoin() (func(), error) {
	select {
	case m.joinSlots <- struct{}{}:
		return func() { <-m.joinSlots }, nil
	default:
		return nil, eris.Errorf("already serving %d joining daemons, try another daemon or retry later", maximumJoins)
	}
}

// Probe merges the gossip of a probe and answers with gossip of this daemon.
func (m *Methods) Probe(request *peer.ProbeRequest, reply *peer.ProbeReply) error {
	m.node.Roster.Update(func(machine *membership.Machine) { reply.Ack = machine.HandleProbe(time.Now(), request.Probe) })
	m.node.spreader.HandleHeader(request.Header)
	reply.Header = m.node.Header()
	return nil
}

// Indirect probes a member on behalf of another daemon and replies whether the member answered.
func (m *Methods) Indirect(request *peer.IndirectRequest, reply *peer.IndirectReply) error {
	reply.IsReached = m.node.probeOnce(request.Target) == nil
	reply.Header = m.node.Header()
	return nil
}

// Hold remembers, in memory, the number of a version that the sender is about to put in force in the data centre.
func (m *Methods) Hold(request *peer.HoldRequest, reply *peer.HoldReply) error {
	m.node.spreader.Hold(request.Version)
	reply.Header = m.node.Header()
	return nil
}

// claimWaitTimeout bounds the wait for an attempt within one remote call; the requesting daemon repeats the call.
const claimWaitTimeout = time.Second

// Claim returns the state of an attempt by this daemon to run an unrepeatable request; it waits up to claimWaitTimeout
// for the attempt to end.
func (m *Methods) Claim(request *peer.ClaimRequest, reply *peer.ClaimReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimWaitTimeout)
	defer cancel()
	reply.State = m.node.Claims.State(ctx, request.Token)
	reply.Header = m.node.Header()
	return nil
}

// Notify processes a crash notice and forwards it within the scope of the request.
func (m *Methods) Notify(request *peer.NotifyRequest, reply *peer.NotifyReply) error {
	m.node.Clock.Receive(request.Header.Stamp)
	m.node.Notices.Receive(request.Notice)
	m.node.spreader.ForwardNotice(request.Notice, request.Scope)
	reply.Header = m.node.Header()
	return nil
}

// Push processes pushed configuration changes and forwards them within the scope of the request.
func (m *Methods) Push(request *peer.PushRequest, reply *peer.PushReply) error {
	m.node.spreader.Receive(request)
	reply.Header = m.node.Header()
	return nil
}

// Pull returns the changes after a version, or the whole encoded state when they are no longer in memory. Requests for
// a whole state count as joins and are refused while maximumJoins are served.
func (m *Methods) Pull(request *peer.PullRequest, reply *peer.PullReply) error {
	changes, ok := m.node.Configuration.ChangesAfter(request.After)
	reply.Header = m.node.Header()
	if ok {
		reply.Changes = changes
		return nil
	}
	release, err := m.admitJoin()
	if err != nil {
		return err
	}
	defer release()
	image, err := m.node.spreader.Image()
	reply.Image = image
	return err
}

// Compare returns the digests of the data centres whose summaries differ between the sender and this daemon.
func (m *Methods) Compare(request *peer.CompareRequest, reply *peer.CompareReply) error {
	m.node.Roster.Update(func(machine *membership.Machine) { reply.Digests = machine.DifferingDigests(request.Summaries) })
	reply.Header = m.node.Header()
	return nil
}

// Fetch merges the records of the sender and returns the records that this daemon had for the same buckets. It refuses
// requests for more than directory.MaximumBuckets buckets.
func (m *Methods) Fetch(request *peer.FetchRequest, reply *peer.FetchReply) error {
	if len(request.Buckets) > directory.MaximumBuckets {
		return eris.Errorf("%d buckets requested, at most %d are allowed", len(request.Buckets), directory.MaximumBuckets)
	}
	var own []membership.Record
	m.node.Roster.Update(func(machine *membership.Machine) { own = machine.Records(request.Buckets) })
	if err := m.node.reconciler.Merge(request.Records); err != nil {
		return err
	}
	var err error
	reply.Records, err = peer.Pack(own)
	reply.Header = m.node.Header()
	return err
}

// Find returns the records of serving instances with a backend server that one of the selectors matches. It counts as a
// join and is refused while maximumJoins are served.
func (m *Methods) Find(request *peer.FindRequest, reply *peer.FindReply) error {
	release, err := m.admitJoin()
	if err != nil {
		return err
	}
	defer release()
	reply.Records, err = peer.Pack(m.node.reconciler.FindMatching(request.Selectors))
	reply.Header = m.node.Header()
	return err
}

// Converge counts the members of an interval that have a version, or a later one, in force. For the whole data centre
// it also counts the dead members, other than the sender, as unsure.
func (m *Methods) Converge(request *peer.ConvergeRequest, reply *peer.ConvergeReply) error {
	*reply = m.node.counter.CountInterval(request.Version, request.Interval)
	if request.Interval == distribution.FullInterval {
		reply.Unsure += m.node.counter.CountDead(request.Header.From)
	}
	reply.Header = m.node.Header()
	return nil
}

// Timeline returns the events of this daemon that match a filter.
func (m *Methods) Timeline(request *peer.TimelineRequest, reply *peer.TimelineReply) error {
	m.node.Clock.Receive(request.Header.Stamp)
	reply.Events = m.node.Recorder.Events(request.Filter)
	reply.Header = m.node.Header()
	return nil
}
