package quota

import (
	"math"
	"time"

	"siskinspar.example/distribution"
	"siskinspar.example/sidecar/organisation"
)

const (
	// noticeTime is how long the other daemons may take to notice that one is cut off.
	noticeTime = 3 * time.Second
	// forgetTime is how long they keep its part of a quota for it; the number of known daemons of member.Table.Living counts
	// it for at least as long.
	forgetTime = 25 * time.Second
	// unnoticedShare is the share of its part that it uses before and after. If a third of the daemons are cut off, these
	// together then add less than a tenth to the quota.
	unnoticedShare = 0.25
)

// Tolerance is what the requests of an organisation may exceed its quota by in each span of a length.
type Tolerance struct {
	// Window is the length of the spans.
	Window time.Duration
	// Share is the tolerated excess as a share of what the quota allows in a span.
	Share float64
	// Slack is the tolerated excess in requests, in addition to Share.
	Slack float64
}

// requests returns the tolerated excess over a quota in requests.
func (t Tolerance) requests(q organisation.Quota) float64 {
	return t.Share*(q.Rate*t.Window.Seconds()+q.Burst) + t.Slack
}

// OwnPart is the part of a quota that a daemon may use which reaches no coordinator.
type OwnPart struct {
	Quota organisation.Quota
	// Initial is the number of requests that it may serve at first.
	Initial float64
}

const (
	// initialShare is the share of the tolerated excess that the cut off daemons together may use at first, if they are
	// not more than cutShare of all.
	initialShare = 0.25
	cutShare     = 1.0 / 3
	// maximumInitial bounds what one daemon may use at first, in requests.
	maximumInitial = 4
)

// NewOwnPart returns the part of a daemon at an address that has reached no coordinator for some time and knows a number of
// daemons, itself included.
func NewOwnPart(name, address string, q organisation.Quota, t Tolerance, known int, isolated time.Duration) OwnPart {
	share := 1 / float64(max(1, known))
	initial := initialShare * t.requests(q) * share / cutShare
	// Of a fraction of a request, so many of the daemons may serve one: others for each organisation.
	spread := float64(distribution.Score(address, name)) / math.MaxUint64
	return OwnPart{
		Quota:   part(q, share*isolatedShare(isolated)),
		Initial: min(maximumInitial, math.Floor(initial+spread)),
	}
}

// isolatedShare returns the share of its equal part that a daemon may use which has reached no coordinator for some time.
func isolatedShare(isolated time.Duration) float64 {
	if isolated < noticeTime || isolated > forgetTime {
		return unnoticedShare
	}
	return 1
}

// almostAll is the share of daemons from which all count as reached: the quota leaves room for the part of the others.
const almostAll = 0.93

// IsMinority reports whether a daemon that reaches some of the known ones, itself included in both, is on the smaller side of
// a partition.
func IsMinority(reached, known int) bool { return 2*reached < known }

// MinorityShare returns the share of what ReachedShare returns that a coordinator may lease which has been on the smaller
// side of a partition for some time. The other side forgets this one and then uses the whole quota.
func MinorityShare(since time.Duration) float64 {
	if since > forgetTime {
		return unnoticedShare
	}
	return 1
}

// ReplacementShare returns the share of a quota that a daemon may lease in place of another one that does not reply, if a
// number of other daemons do not reply either. More than one of them shows a partition that is not noticed yet: the other one
// goes on leasing on its side.
func ReplacementShare(silent, asked int) float64 {
	if silent <= 1 {
		return 1
	}
	return unnoticedShare * float64(asked-silent) / float64(asked)
}

// ReachedShare returns the share of a quota that a coordinator may lease which reaches some of the known daemons, itself
// included in both.
func ReachedShare(reached, known int) float64 {
	share := float64(reached) / float64(max(1, known))
	if share >= almostAll {
		return 1
	}
	return share
}
