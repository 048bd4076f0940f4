package owner

import (
	"time"

	"siskinspar.example/sidecar/message"
)

const (
	// resultLifetime is how long the reply to a call is kept for an entry daemon that may not have received it.
	resultLifetime = 5 * time.Second
	// maximumResultBytes bounds the bodies of the replies that are kept.
	maximumResultBytes = 4 << 20
	// markLifetime is how long it is known of a call that it came, or that it must not run any more. It is far longer
	// than any request lasts.
	markLifetime = 2 * time.Minute
)

// mark says what became of a call.
type mark struct {
	key callKey
	at  time.Time
	// isBarred is true for a call that has not come and must not run if it still does.
	isBarred bool
	// reply is the reply to a call that has ended, or nil if it is not kept any more.
	reply *message.Reply
}

// results keeps what became of the latest calls, for entry daemons whose connection broke before they had the reply. Its
// methods are called under the lock of the owner.
type results struct {
	marks map[callKey]*mark
	// order holds the marks in the order of their times.
	order []*mark
	// replies are the marks with a reply, the oldest first; bytes is the size of their bodies.
	replies []*mark
	bytes   int
}

// add records that a call has ended with a reply.
func (r *results) add(now time.Time, k callKey, reply message.Reply) {
	m := r.put(now, k)
	m.reply = &reply
	r.replies = append(r.replies, m)
	r.bytes += len(reply.Answer.Body)
	for len(r.replies) > 0 && (r.bytes > maximumResultBytes || now.Sub(r.replies[0].at) > resultLifetime) {
		r.dropReply()
	}
}

// bar records that a call which has not come must not run.
func (r *results) bar(now time.Time, k callKey) { r.put(now, k).isBarred = true }

// find returns what became of a call, or false if it has neither come nor been barred.
func (r *results) find(k callKey) (*mark, bool) {
	m, ok := r.marks[k]
	return m, ok
}

// isBarred reports whether a call must not run.
func (r *results) isBarred(k callKey) bool {
	m, ok := r.marks[k]
	return ok && m.isBarred
}

func (r *results) put(now time.Time, k callKey) *mark {
	if r.marks == nil {
		r.marks = map[callKey]*mark{}
	}
	for len(r.order) > 0 && now.Sub(r.order[0].at) > markLifetime {
		if r.marks[r.order[0].key] == r.order[0] {
			delete(r.marks, r.order[0].key)
		}
		r.order = r.order[1:]
	}
	m := &mark{key: k, at: now}
	r.marks[k] = m
	r.order = append(r.order, m)
	return m
}

// dropReply drops the oldest reply and keeps its mark.
func (r *results) dropReply() {
	m := r.replies[0]
	r.replies = r.replies[1:]
	r.bytes -= len(m.reply.Answer.Body)
	m.reply = nil
}
