package control

import (
	"context"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/request/quarantine"
)

// Notices takes in what other daemons tell of crashes.
type Notices interface {
	// Receive reports whether the notice was new.
	Receive(n quarantine.Notice) bool
}

// SpreadNotice passes a notice on to all daemons: down the tree of the own data centre, and to a relay of each other one.
func (n *Node) SpreadNotice(notice quarantine.Notice) {
	n.forwardNotice(notice, distribution.Everyone)
	own := n.Roster.Self()
	for _, d := range n.Roster.DataCentres() {
		if d != own.DataCentre && !n.Roster.IsLost(d) {
			n.workers.try(func() { n.sendNotice(n.Roster.Relays(d), notice, distribution.Everyone) })
		}
	}
}

func (n *Node) forwardNotice(notice quarantine.Notice, i distribution.Interval) {
	own := n.Roster.Self()
	for _, d := range distribution.Spread(n.Roster.Group(own.DataCentre), own.ID, i) {
		n.workers.try(func() { n.sendNotice(d.Candidates(), notice, d.Interval()) })
	}
}

// sendNotice hands a notice to the first candidate that answers.
func (n *Node) sendNotice(candidates []membership.Record, notice quarantine.Notice, i distribution.Interval) {
	for _, r := range candidates {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		var reply peer.NotifyReply
		err := n.Pool.Call(ctx, r.PeerAddress, peer.MethodNotify, &peer.NotifyRequest{Header: n.header(), Notice: notice, Interval: i}, &reply)
		cancel()
		if err == nil {
			return
		}
	}
}
