package control

import (
	"context"

	"siskinspar.example/daemon/peer"
	"siskinspar.example/membership"
	"siskinspar.example/request/claim"
)

// ClaimState returns the state of an attempt from the daemon that holds its claim, and repeats the call until the
// attempt has ended. It returns StateRunning when ctx ends first, and StateUnknown when the holder is not a known
// member or a call to it fails.
func (n *Node) ClaimState(ctx context.Context, holder string, t claim.Token) claim.State {
	if membership.ID(holder) == n.Roster.Self().ID {
		return n.Claims.State(ctx, t)
	}
	r, ok := n.Roster.Find(membership.ID(holder))
	if !ok {
		return claim.StateUnknown
	}
	for ctx.Err() == nil {
		state, err := n.requestClaimState(r.PeerAddress, t)
		if err != nil {
			return claim.StateUnknown
		}
		if state != claim.StateRunning {
			return state
		}
	}
	return claim.StateRunning
}

// requestClaimState makes one call to a claim's holder, which waits up to claimWaitTimeout for the attempt to end.
func (n *Node) requestClaimState(address string, t claim.Token) (claim.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*claimWaitTimeout)
	defer cancel()
	var reply peer.ClaimReply
	err := n.Pool.Call(ctx, address, peer.MethodClaim, &peer.ClaimRequest{Header: n.Header(), Token: t}, &reply)
	return reply.State, err
}
