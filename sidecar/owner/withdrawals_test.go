package owner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/route"
)

// TestAWithdrawalHandledBeforeItsRequestKeepsItFromASlot guards against slots that wait for a call which never comes: the
// messages of one connection are handled concurrently.
func TestAWithdrawalHandledBeforeItsRequestKeepsItFromASlot(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 1, member.Ready))
	o.Withdraw(message.Withdrawal{Entry: "e", Number: 1})
	grant := o.Reserve(call("one", "/", "a", route.Idempotent, 1).Job)
	assert.Equal(t, grant.Ticket, uint64(0))
	assert.Equal(t, grant.Reason, owner.ReasonWithdrawn)
	assert.Equal(t, o.Call(call("one", "/", "a", route.Unrepeatable, 1)).Outcome, message.NotRun)
	_, l := o.Server()
	assert.Equal(t, l.Running, 0, "the slot is free")
	assert.Equal(t, o.Call(call("two", "/", "a", route.Idempotent, 2)).Outcome, message.Ran)
	assert.Equal(t, s.runs.Load(), int32(1))
}
