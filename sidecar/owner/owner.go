package owner

import (
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/slot"
	"siskinspar.example/sidecar/upstream"
)

const (
	// grantLifetime is how long a granted slot waits for the call that claims it, before the grant expires.
	grantLifetime = 250 * time.Millisecond
	// maximumTransferTime bounds what the transfer of a large body may add to grantLifetime.
	maximumTransferTime = time.Second
	// advancePeriod is how often the queue is advanced while requests wait, besides each time that a slot becomes free.
	advancePeriod = 10 * time.Millisecond
	// unreachableTime is how long a backend server that does not listen gets no requests, unless it announces itself
	// meanwhile.
	unreachableTime = time.Second
)

// The reasons of replies to calls that did not run or whose outcome is unknown, besides those of package slot. They are
// sent to entry daemons, which compare some of them, so their texts must not change.
const (
	// ReasonOtherServer means that the backend server that the request names is not here: another one is, or none,
	// whatever the text says.
	ReasonOtherServer = "another backend server is here"
	// ReasonUnreachable means that nothing was sent, since the backend server refuses connections.
	ReasonUnreachable = "the backend server does not take connections"
	// ReasonRejected means that the backend server rejected the request: it answered that it did not run it.
	ReasonRejected = "the backend server did not run it"
	// ReasonWithdrawn means that the entry daemon withdrew the reservation or the call.
	ReasonWithdrawn = "withdrawn by the entry daemon"
	// ReasonConnectionEnded means that the connection ended before a whole answer; the error is appended.
	ReasonConnectionEnded = "the connection to the backend server ended"
	// ReasonDeadlinePassed means that the deadline passed before a whole answer, or before anything was sent.
	ReasonDeadlinePassed = "deadline passed"
)

// Headers builds the headers of requests to a backend server and reads those of its answers.
type Headers interface {
	// IDHeader returns the name of the header that holds the ID of a request.
	IDHeader() string
	// ForServer returns the headers of a request to the backend server with an ID; timeLeft is the time until the
	// deadline.
	ForServer(q message.Request, server string, timeLeft time.Duration) http.Header
	// IsNotRun reports whether an answer says that the request did not run.
	IsNotRun(status int, h http.Header) bool
	// Notice returns what the backend server states of itself in an answer.
	Notice(status int, h http.Header) member.Notice
}

// Owner runs requests at the backend server beside the daemon and refuses those for which it has no slot in time. Its
// exported fields are set before use. Its lock is acquired before that of the upstream client.
type Owner struct {
	Logger  *slog.Logger
	Headers Headers
	// Address is the host and port at which other daemons reach this one.
	Address string
	// Service is the service of the backend server beside the daemon; announcements of others are ignored. Empty means any.
	Service string
	// MaximumConnections returns the number of connections that a backend server of a service accepts.
	MaximumConnections func(service string) int
	// Incarnation is the start of this daemon in milliseconds since 1970, as in its record.
	Incarnation int64
	// ExtraRequests is the number of requests beyond its slots that are sent to the backend server, where they wait.
	ExtraRequests int
	// Link is the outgoing link of the instance.
	Link slot.Link
	// OnChange is called without the lock after the ID, the state or the incarnation of the backend server has changed.
	OnChange func()
	// OnLeave is called without the lock when the backend server has announced its drain, before that is acknowledged. It
	// may wait until the drain is kept on the store; it is set before use, or nil.
	OnLeave func(s member.Server)
	// OnDial is called for each connection that is opened to the backend server.
	OnDial func()
	// MaximumAnswerSize is the largest body of an answer in bytes, or 0 for the limit of package upstream.
	MaximumAnswerSize int
	// Memory bounds the bodies of answers while they are read; nil means no limit.
	Memory *memory.Budget

	mu    sync.Mutex
	slots *slot.Controller
	// server is the latest announcement of the backend server; its ID is empty before the first one.
	server member.Server
	client *upstream.Client
	// calls and tickets hold the same calls, by their request and by their ticket.
	calls   map[callKey]*trackedCall
	tickets map[slot.Ticket]*trackedCall
	results results
	// withdrawals are those of requests that have not come yet.
	withdrawals withdrawals
	// unreachableUntil is when requests are sent again to a backend server that refused a connection.
	unreachableUntil time.Time
	failures         failures
	refusals         refusals
	lastCheck        crashCheck
	// rateLimit is what the backend server stated last, in requests a second, or slot.Unlimited. It is known from an
	// answer if hasNotice is true.
	rateLimit float64
	hasNotice bool
	// previousLimit is the backend server with the rate limit that this daemon reported before it restarted.
	previousLimit member.Server
	// drains are those of which this daemon has learned without the announcement of the server: from a drain call with an
	// ID that it does not know, from the store or from the report of another daemon. They are needed after a restart of
	// this daemon.
	drains drains
	// isRefusing is true once Refuse was called.
	isRefusing bool
	// end is when this daemon ends, once StopBy has set it.
	end  time.Time
	done chan struct{}
	stop chan struct{}
}

// callKey identifies a request among those of all entry daemons, by the address of the entry daemon and its number
// there.
type callKey struct {
	entry  string
	number uint64
}

// trackedCall is a request that waits for a slot, was granted one or runs.
type trackedCall struct {
	key    callKey
	ticket slot.Ticket
	// waitResult receives the empty reason once a waiting request gets a slot, or the reason of its refusal.
	waitResult chan slot.Reason
	// cancel ends a running call that is withdrawn; it is nil before the call starts.
	cancel func()
	// expire ends a running call as its deadline does; it is nil before the call starts.
	expire func()
	// grantLifetime is how long a granted slot waits for the call: longer if the call has a large body.
	grantLifetime time.Duration
	// deadline and priority are those of the request.
	deadline time.Time
	priority int
	// ended is closed once the reply to the call is kept in results.
	ended chan struct{}
}

// Run prepares the owner and starts the goroutine that advances the queue periodically.
func (o *Owner) Run() {
	o.slots = slot.NewController()
	o.slots.Link = o.Link
	o.drains = drains{}
	o.calls = map[callKey]*trackedCall{}
	o.tickets = map[slot.Ticket]*trackedCall{}
	o.done = make(chan struct{})
	o.stop = make(chan struct{})
	go o.loop()
}

// loop advances the queue periodically until Stop is called.
func (o *Owner) loop() {
	defer close(o.done)
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(o.period()):
			o.mu.Lock()
			o.notify(o.slots.Advance(time.Now()))
			o.logRefusals(time.Now())
			o.mu.Unlock()
		}
	}
}

// period returns the time until the queue is advanced next: advancePeriod while requests wait, otherwise
// grantLifetime, after which grants expire.
func (o *Owner) period() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.slots.Waiting() > 0 {
		return advancePeriod
	}
	return grantLifetime
}

// Stop ends the periodic advance of the queue and waits for it to end.
func (o *Owner) Stop() {
	close(o.stop)
	<-o.done
}

// Done returns a channel that is closed once Stop has taken effect.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Server returns the backend server and its load. A ready one that recently refused a connection is returned as absent.
func (o *Owner) Server() (member.Server, member.Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.server
	if s.State == member.Ready && time.Now().Before(o.unreachableUntil) {
		s.State = member.Absent
	}
	if !math.IsInf(o.rateLimit, 1) {
		s.RateLimit = o.rateLimit
	}
	return s, o.load()
}

// load returns the current load; the caller holds the lock.
func (o *Owner) load() member.Load {
	now := time.Now()
	return member.Load{
		Running: o.slots.Running(), Waiting: o.slots.Waiting(), Slots: o.slots.Slots(),
		Failing: o.failures.share(now), Backlog: o.slots.Backlog(now), StartWait: o.slots.StartWait(now),
	}
}

// LongestTimeLeft implements entry.Running.
func (o *Owner) LongestTimeLeft(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	longest := time.Duration(0)
	for _, tc := range o.tickets {
		if tc.cancel != nil {
			longest = max(longest, tc.deadline.Sub(now))
		}
	}
	return longest
}

// notify passes the status changes of jobs to the waiting requests. A slot that was granted to a request which
// no longer waits is released at once. The caller holds the lock.
func (o *Owner) notify(changes []slot.StatusChange) {
	for _, change := range changes {
		tc, ok := o.tickets[change.Ticket()]
		if !ok {
			if change.IsRun() {
				o.notify(o.slots.Release(time.Now(), change.Ticket()))
			}
			continue
		}
		if change.IsRun() {
			o.slots.Grant(change.Ticket(), time.Now().Add(tc.grantLifetime))
		} else {
			o.refusals.count(tc.priority, change.Reason())
			o.removeCall(tc)
		}
		tc.waitResult <- change.Reason()
	}
}

// removeCall removes a request that was refused, withdrawn or completed; the caller holds the lock.
func (o *Owner) removeCall(tc *trackedCall) {
	delete(o.tickets, tc.ticket)
	delete(o.calls, tc.key)
}

// Withdraw removes a waiting request from the queue, releases the slot that was granted to it, or cancels its running
// call. One that has not come yet is refused when it comes.
func (o *Owner) Withdraw(w message.Withdrawal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := callKey{w.Entry, w.Number}
	tc, ok := o.calls[k]
	if !ok {
		o.withdrawals.add(time.Now(), k)
		return
	}
	if tc.cancel != nil {
		tc.cancel()
		return
	}
	o.withdrawReservation(tc)
}

// withdrawReservation removes a request that waits for a slot, or releases the slot that was granted to it. The caller
// holds the lock.
func (o *Owner) withdrawReservation(tc *trackedCall) {
	o.removeCall(tc)
	if o.slots.Cancel(tc.ticket) {
		tc.waitResult <- slot.Reason(ReasonWithdrawn)
		return
	}
	o.notify(o.slots.Release(time.Now(), tc.ticket))
}
