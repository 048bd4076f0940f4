package spread

import (
	"context"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/request/quarantine"
)

// BroadcastNotice sends a notice of a crash or of a clearance to the daemons of all data centres.
func (s *Spreader) BroadcastNotice(notice quarantine.Notice) {
	s.ForwardNotice(notice, distribution.WholeMesh)
}

// ForwardNotice sends a notice of a crash or of a clearance to the daemons of a scope.
func (s *Spreader) ForwardNotice(notice quarantine.Notice, scope distribution.Scope) {
	s.delegateScope(scope, func(to membership.Record, rest distribution.Scope) bool {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		var reply peer.NotifyReply
		request := peer.NotifyRequest{Header: s.Header(), Notice: notice, Scope: rest}
		return s.Pool.Call(ctx, to.PeerAddress, peer.MethodNotify, &request, &reply) == nil
	})
}
