package peer

import (
	"siskinspar.example/declaration"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/request/claim"
	"siskinspar.example/request/quarantine"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
)

// The names of the remote methods.
const (
	MethodProbe    = "Peer.Probe"
	MethodIndirect = "Peer.Indirect"
	MethodHold     = "Peer.Hold"
	MethodFind     = "Peer.Find"
	MethodNotify   = "Peer.Notify"
	MethodClaim    = "Peer.Claim"
	MethodPush     = "Peer.Push"
	MethodPull     = "Peer.Pull"
	MethodCompare  = "Peer.Compare"
	MethodFetch    = "Peer.Fetch"
	MethodConverge = "Peer.Converge"
	MethodTimeline = "Peer.Timeline"
)

// Header starts every message: its sender, its logical time and the version that the sender has in force.
type Header struct {
	From    membership.ID
	Stamp   timeline.Stamp
	Version declaration.Version
}

// ProbeRequest asks whether the receiver is alive.
type ProbeRequest struct {
	Header Header
	Probe  membership.Probe
}

// ProbeReply tells that the receiver is alive.
type ProbeReply struct {
	Header Header
	Ack    membership.Ack
}

// IndirectRequest asks the receiver to probe a member.
type IndirectRequest struct {
	Header Header
	Target membership.Record
}

// IndirectReply tells whether the member answered.
type IndirectReply struct {
	Header    Header
	IsReached bool
}

// HoldRequest asks the receiver to remember that a version is about to come in force in its data centre.
type HoldRequest struct {
	Header  Header
	Version declaration.Version
}

// HoldReply tells that the receiver remembers the version.
type HoldReply struct{ Header Header }

// ClaimRequest asks what became of an attempt of the receiver to run an unrepeatable request.
type ClaimRequest struct {
	Header Header
	Token  claim.Token
}

// ClaimReply tells the state of the attempt.
type ClaimReply struct {
	Header Header
	State  claim.State
}

// NotifyRequest carries a notice of a crash and the scope in which the receiver passes it on.
type NotifyRequest struct {
	Header Header
	Notice quarantine.Notice
	Scope  distribution.Scope
}

// NotifyReply tells that the receiver has taken the notice.
type NotifyReply struct{ Header Header }

// PushRequest carries new changes and the scope in which the receiver passes them on.
type PushRequest struct {
	Header  Header
	Changes []versionlog.Change
	Scope   distribution.Scope
}

// PushReply tells that the receiver has taken the changes.
type PushReply struct{ Header Header }

// PullRequest asks for what follows a version.
type PullRequest struct {
	Header Header
	After  declaration.Version
}

// PullReply carries the changes, or a compressed versionlog.Image when the changes are no longer held.
type PullReply struct {
	Header  Header
	Changes []versionlog.Change
	Image   []byte
}

// CompareRequest carries the summaries of the sender's directory.
type CompareRequest struct {
	Header    Header
	Summaries []membership.Summary
}

// CompareReply carries the receiver's digests of the data centres that differ.
type CompareReply struct {
	Header  Header
	Digests []membership.GroupDigest
}

// FetchRequest carries the sender's records of some buckets and asks for the receiver's.
type FetchRequest struct {
	Header  Header
	Buckets []membership.Bucket
	Records PackedRecords
}

// FetchReply carries the receiver's records of the buckets.
type FetchReply struct {
	Header  Header
	Records PackedRecords
}

// FindRequest asks for the instances whose backend servers match one of the selectors.
type FindRequest struct {
	Header    Header
	Selectors []declaration.Selector
}

// FindReply carries the records of the instances.
type FindReply struct {
	Header  Header
	Records PackedRecords
}

// ConvergeRequest asks how many members of an interval have a version in force.
type ConvergeRequest struct {
	Header   Header
	Version  declaration.Version
	Interval distribution.Interval
}

// ConvergeReply counts the members that have the version in force and names some that lag or can't be reached.
type ConvergeReply struct {
	Header      Header
	InForce     int
	Lagging     []membership.ID
	Unreachable []membership.ID
	// Highest is the highest version that a counted member has in force or holds.
	Highest declaration.Version
	// Answered counts the ready members, and Unsure those that can't be reached, are not ready or were removed lately.
	Answered int
	Unsure   int
}

// MaximumNamed bounds the members that a ConvergeReply names in each list.
const MaximumNamed = 64

// Add merges the answer of a delegate.
func (r *ConvergeReply) Add(o ConvergeReply) {
	r.InForce += o.InForce
	r.Highest = max(r.Highest, o.Highest)
	r.Answered += o.Answered
	r.Unsure += o.Unsure
	r.Lagging = bounded(append(r.Lagging, o.Lagging...))
	r.Unreachable = bounded(append(r.Unreachable, o.Unreachable...))
}

func bounded(ids []membership.ID) []membership.ID { return ids[:min(len(ids), MaximumNamed)] }

// TimelineRequest asks for the receiver's events.
type TimelineRequest struct {
	Header Header
	Filter timeline.Filter
}

// TimelineReply carries the receiver's events.
type TimelineReply struct {
	Header Header
	Events []timeline.Event
}
