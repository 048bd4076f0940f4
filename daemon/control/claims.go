package control

import (
	"context"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/membership"
	"siskinspar.example/request/claim"
)

// Ask asks the daemon that holds a claim until its attempt has ended; a daemon that can't be reached makes it unknown.
func (n *Node) Ask(ctx context.Context, holder string, t claim.Token) claim.State {
	if membership.ID(holder) == n.Roster.Self().ID {
		return n.Claims.State(ctx, t)
	}
	r, ok := n.Roster.Find(membership.ID(holder))
	if !ok {
		return claim.StateUnknown
	}
	for ctx.Err() == nil {
		state, err := n.askClaim(r.PeerAddress, t)
		if err != nil {
			return claim.StateUnknown
		}
		if state != claim.StateRunning {
			return state
		}
	}
	return claim.StateRunning
}

func (n *Node) askClaim(address string, t claim.Token) (claim.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*claimWait)
	defer cancel()
	var reply peer.ClaimReply
	err := n.Pool.Call(ctx, address, peer.MethodClaim, &peer.ClaimRequest{Header: n.Header(), Token: t}, &reply)
	return reply.State, err
}
