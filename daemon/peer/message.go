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

// The names of the remote methods of the net/rpc service Peer; each takes the request and the reply type of its name.
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

// Header starts every message between daemons.
type Header struct {
	// From is the daemon that sends the message.
	From membership.ID
	// Stamp is the sender's hybrid logical clock at the time of sending.
	Stamp timeline.Stamp
	// Version is the version that the sender has in force.
	Version declaration.Version
	// StoreEra is the newest era of the store that the sender knows of, as defined at store.Era.
	StoreEra uint64
}

// ProbeRequest asks whether the receiver is alive and carries membership gossip.
type ProbeRequest struct {
	Header Header
	Probe  membership.Probe
}

// ProbeReply confirms that the receiver is alive and carries its membership gossip.
type ProbeReply struct {
	Header Header
	Ack    membership.Ack
}

// IndirectRequest asks the receiver to probe the member Target on behalf of the sender.
type IndirectRequest struct {
	Header Header
	Target membership.Record
}

// IndirectReply reports whether the member answered the probe.
type IndirectReply struct {
	Header    Header
	IsReached bool
}

// HoldRequest asks the receiver to remember a version that is about to come into force in its data centre.
//
// A restarted daemon asks its peers for the highest such version and refuses to put older ones in force.
type HoldRequest struct {
	Header  Header
	Version declaration.Version
}

// HoldReply confirms that the receiver remembers the version.
type HoldReply struct{ Header Header }

// ClaimRequest asks for the state of the receiver's attempt to run an unrepeatable request.
//
// Token identifies the attempt.
type ClaimRequest struct {
	Header Header
	Token  claim.Token
}

// ClaimReply carries the state of the attempt.
type ClaimReply struct {
	Header Header
	State  claim.State
}

// NotifyRequest carries a quarantine notice, and the scope to which the receiver forwards it.
type NotifyRequest struct {
	Header Header
	Notice quarantine.Notice
	Scope  distribution.Scope
}

// NotifyReply confirms that the receiver has applied the notice.
type NotifyReply struct{ Header Header }

// PushRequest carries new changes of the configuration, and the scope to which the receiver forwards them.
type PushRequest struct {
	Header  Header
	Changes []versionlog.Change
	Scope   distribution.Scope
}

// PushReply confirms that the receiver has received the changes.
type PushReply struct{ Header Header }

// PullRequest asks for the changes that follow the version After.
type PullRequest struct {
	Header Header
	After  declaration.Version
}

// PullReply carries the changes, or a compressed versionlog.Image when the receiver no longer keeps them.
type PullReply struct {
	Header  Header
	Changes []versionlog.Change
	Image   []byte
}

// CompareRequest carries one summary per data centre of the sender's membership records.
type CompareRequest struct {
	Header    Header
	Summaries []membership.Summary
}

// CompareReply carries the receiver's digests of the data centres whose summaries differ.
type CompareReply struct {
	Header  Header
	Digests []membership.GroupDigest
}

// FetchRequest carries the sender's member records of the given buckets and asks for the receiver's records of them.
type FetchRequest struct {
	Header  Header
	Buckets []membership.Bucket
	Records PackedRecords
}

// FetchReply carries the receiver's member records of the requested buckets.
type FetchReply struct {
	Header  Header
	Records PackedRecords
}

// FindRequest asks for the instances whose backend servers match one of the selectors.
type FindRequest struct {
	Header    Header
	Selectors []declaration.Selector
}

// FindReply carries the member records of the matching instances.
type FindReply struct {
	Header  Header
	Records PackedRecords
}

// ConvergeRequest asks how many members in an interval of instance hashes have a version in force.
type ConvergeRequest struct {
	Header   Header
	Version  declaration.Version
	Interval distribution.Interval
}

// ConvergeReply counts the members that have the version in force, and lists members that do not.
type ConvergeReply struct {
	Header Header
	// InForce counts the members that have the version or a later one in force.
	InForce int
	// Lagging lists up to 64 members that have an older version in force.
	Lagging []membership.ID
	// Unreachable lists up to 64 members that did not answer.
	Unreachable []membership.ID
	// Highest is the highest version that an answering member has in force or was asked to remember.
	Highest declaration.Version
	// Answered counts the members that answered and are ready.
	Answered int
	// Unsure counts the members that did not answer, are not ready or are dead but not purged yet.
	Unsure int
}

// maximumListed bounds the members in each list of a ConvergeReply.
const maximumListed = 64

// Add merges the reply of another member into this one, except for its header.
func (r *ConvergeReply) Add(o ConvergeReply) {
	r.InForce += o.InForce
	r.Highest = max(r.Highest, o.Highest)
	r.Answered += o.Answered
	r.Unsure += o.Unsure
	r.Lagging = truncate(append(r.Lagging, o.Lagging...))
	r.Unreachable = truncate(append(r.Unreachable, o.Unreachable...))
}

func truncate(ids []membership.ID) []membership.ID { return ids[:min(len(ids), maximumListed)] }

// TimelineRequest asks for the receiver's timeline events that match the filter.
type TimelineRequest struct {
	Header Header
	Filter timeline.Filter
}

// TimelineReply carries the receiver's matching timeline events.
type TimelineReply struct {
	Header Header
	Events []timeline.Event
}
