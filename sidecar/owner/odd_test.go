package owner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
)

func TestAnAnnouncementOfAnotherWriterDoesNotHideTheServer(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	now := time.Now().UnixMilli()
	other := announcement(s, "odd", now+1, 1, member.Ready)
	other.Service = "nobody"
	for name, odd := range map[string]member.Server{
		"a service that is not that of the instance": other,
		"a start in the far future":                  announcement(s, "odd", now+time.Hour.Milliseconds(), 1, member.Ready),
		"a start in the far future, the same ID":     announcement(s, "a", now+time.Hour.Milliseconds(), 1, member.Ready),
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t)
			o.Service = "desk"
			o.Announce(announcement(s, "a", now, 5, member.Ready))
			assert.Assert(t, !o.Announce(odd))
			assert.Assert(t, o.Announce(announcement(s, "a", now, 6, member.Draining)), "the server is heard as before")
			found, _ := o.Server()
			assert.Equal(t, found.ID, "a")
			assert.Equal(t, found.State, member.Draining)
		})
	}
}

func TestADrainThatIsAcknowledgedAppliesAfterAnOddSequence(t *testing.T) {
	s := newServer(t)
	defer s.Close()
	o := newOwner(t)
	o.Announce(announcement(s, "a", 10, 5, member.Ready))
	o.Announce(announcement(s, "a", 10, 1<<30, member.Ready))
	assert.Assert(t, o.Announce(announcement(s, "a", 10, 6, member.Draining)))
	found, _ := o.Server()
	assert.Equal(t, found.State, member.Draining)
}
