package owner

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/slot"
	"siskinspar.example/sidecar/upstream"
)

const (
	// holdTime is how long a granted slot waits for its request.
	holdTime = 250 * time.Millisecond
	// advancePeriod is how often waiting requests are looked at while nothing else happens.
	advancePeriod = 10 * time.Millisecond
	// downTime is how long a backend server that does not listen gets no requests, unless it announces itself.
	downTime = time.Second
)

// The reasons for which a request does not run here, besides those of the slots.
const (
	ReasonOtherServer = "another backend server is here"
	ReasonUnreachable = "the backend server does not take connections"
	ReasonRejected    = "the backend server did not run it"
	ReasonWithdrawn   = "withdrawn by the entry daemon"
	ReasonBroken      = "the connection to the backend server ended"
	ReasonDeadline    = "deadline passed"
)

// Headers names and reads the headers that a backend server gets and gives.
type Headers interface {
	// IDHeader returns the header that holds the ID of a request.
	IDHeader() string
	// ForServer returns the headers of a request for a backend server.
	ForServer(q message.Request, server string, left time.Duration) http.Header
	// IsNotRun reports whether an answer says that the request did not run.
	IsNotRun(status int, h http.Header) bool
}

// Owner guards the backend server; its exported fields are set before use. Its lock is taken before that of the upstream client.
type Owner struct {
	Logger  *slog.Logger
	Headers Headers
	// Address is where other daemons reach this one.
	Address string
	// Connections returns the number of connections that a backend server of a service accepts.
	Connections func(service string) int
	// Queued is the number of requests beyond its slots that wait at the backend server itself.
	Queued int
	// Link is the outgoing link of the instance.
	Link slot.Link
	// OnChange is called after the backend server has changed.
	OnChange func()
	// OnDial is called for each connection that is opened to the backend server.
	OnDial func()

	mu        sync.Mutex
	slots     *slot.Controller
	server    member.Server
	client    *upstream.Client
	jobs      map[key]*job
	tickets   map[slot.Ticket]*job
	downUntil time.Time
	failing   failing
	look      look
	// left is the last leave that this process could not tie to an announcement of its own: one of an unknown ID, or one
	// that other daemons remember. Born is the latest start that it covers.
	left member.Server
	done chan struct{}
	stop chan struct{}
}

// key identifies a request among those of all entry daemons.
type key struct {
	entry  string
	number uint64
}

// job is a request that waits, holds a slot or runs.
type job struct {
	key     key
	ticket  slot.Ticket
	granted chan slot.Reason
	cancel  context.CancelFunc
}

// Run starts the periodic look at waiting requests.
func (o *Owner) Run() {
	o.slots = slot.NewController()
	o.slots.Link = o.Link
	o.jobs = map[key]*job{}
	o.tickets = map[slot.Ticket]*job{}
	o.done = make(chan struct{})
	o.stop = make(chan struct{})
	go o.loop()
}

func (o *Owner) loop() {
	defer close(o.done)
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(o.period()):
			o.mu.Lock()
			o.notify(o.slots.Advance(time.Now()))
			o.mu.Unlock()
		}
	}
}

// period is short only while requests wait or slots are held.
func (o *Owner) period() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.slots.Waiting() > 0 {
		return advancePeriod
	}
	return holdTime
}

// Stop ends the periodic look.
func (o *Owner) Stop() {
	close(o.stop)
	<-o.done
}

// Done returns a channel that is closed once the owner has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Server returns the backend server and its load.
func (o *Owner) Server() (member.Server, member.Load) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.server
	if s.State == member.Ready && time.Now().Before(o.downUntil) {
		s.State = member.Absent
	}
	return s, o.load()
}

func (o *Owner) load() member.Load {
	return member.Load{
		Running: o.slots.Running(), Waiting: o.slots.Waiting(), Slots: o.slots.Slots(),
		Failing: o.failing.share(time.Now()), Backlog: o.slots.Backlog(time.Now()),
	}
}

// Announce takes in what the backend server says of itself and reports whether it changed anything.
//
// A late announcement of an earlier incarnation, or one out of order, changes nothing.
func (o *Owner) Announce(s member.Server) bool {
	o.mu.Lock()
	present := o.server
	if o.hasLeft(s) {
		s.State = member.Draining
	}
	switch {
	case present.ID != "" && s.Born < present.Born:
		o.mu.Unlock()
		return false
	case s.Born == present.Born && s.ID == present.ID:
		if present.State == member.Draining || s.Sequence <= present.Sequence {
			o.mu.Unlock()
			return false
		}
		o.server = s
	default:
		o.replace(s)
	}
	o.slots.SetSlots(s.Slots + o.Queued)
	if s.State == member.Draining {
		o.notify(o.slots.Drain())
	}
	o.downUntil = time.Time{}
	isChanged := present.State != s.State || present.ID != s.ID || present.Born != s.Born
	o.mu.Unlock()
	if isChanged {
		o.Logger.Info("owner: backend server announced", "server", s.ID, "service", s.Service, "state", s.State.String(), "born", s.Born, "sequence", s.Sequence, "slots", s.Slots)
		o.OnChange()
	}
	return isChanged
}

// replace begins anew with another incarnation of the backend server.
func (o *Owner) replace(s member.Server) {
	o.notify(o.slots.Reset(s.Slots + o.Queued))
	if o.client != nil {
		o.client.Close()
	}
	o.failing = failing{}
	o.client = &upstream.Client{Address: s.Address, Connections: o.Connections(s.Service), IDHeader: o.Headers.IDHeader(), OnDial: o.OnDial}
	o.server = s
}

// NoteLeft takes in what other daemons know: that an incarnation of the backend server has said here that it leaves. An
// announcement from before may still come in after this daemon was started anew.
func (o *Owner) NoteLeft(s member.Server) {
	o.mu.Lock()
	if s.Born >= o.left.Born {
		o.left = s
	}
	isHere := o.hasLeft(o.server)
	o.mu.Unlock()
	if isHere {
		o.Leave(s.ID)
	}
}

// hasLeft reports whether an incarnation is covered by a leave that this process can't tie to an announcement.
func (o *Owner) hasLeft(s member.Server) bool {
	return s.ID != "" && s.ID == o.left.ID && s.Born <= o.left.Born
}

// Leave notes that the backend server is going and reports whether that changed anything.
//
// A daemon that was started anew may not know the ID yet; an announcement from before the leave then changes nothing. The
// start of an incarnation and this moment are read from the clock of the same instance.
func (o *Owner) Leave(id string) bool {
	o.mu.Lock()
	if o.server.ID != id {
		o.left = member.Server{ID: id, Born: time.Now().UnixMilli()}
		o.mu.Unlock()
		o.Logger.Info("owner: unknown backend server leaves", "server", id)
		return false
	}
	if o.server.State == member.Draining {
		o.mu.Unlock()
		return false
	}
	o.server.State = member.Draining
	o.notify(o.slots.Drain())
	o.mu.Unlock()
	o.Logger.Info("owner: backend server leaves", "server", id)
	o.OnChange()
	return true
}

// notify tells waiting requests what became of them; the lock is held.
func (o *Owner) notify(notices []slot.Notice) {
	for _, n := range notices {
		j, ok := o.tickets[n.Ticket()]
		if !ok {
			if n.IsRun() {
				o.notify(o.slots.Release(time.Now(), n.Ticket()))
			}
			continue
		}
		if n.IsRun() {
			o.slots.Hold(n.Ticket(), time.Now().Add(holdTime))
		} else {
			o.forget(j)
		}
		j.granted <- n.Reason()
	}
}

func (o *Owner) forget(j *job) {
	delete(o.tickets, j.ticket)
	delete(o.jobs, j.key)
}

// Withdraw takes a request out of the queue, gives back its slot, or gives up the call that runs.
func (o *Owner) Withdraw(w message.Withdrawal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, ok := o.jobs[key{w.Entry, w.Number}]
	if !ok {
		return
	}
	if j.cancel != nil {
		j.cancel()
		return
	}
	o.forget(j)
	if o.slots.Cancel(j.ticket) {
		j.granted <- slot.Reason(ReasonWithdrawn)
		return
	}
	o.notify(o.slots.Release(time.Now(), j.ticket))
}
