package owner

import (
	"time"

	"siskinspar.example/sidecar/message"
)

// The reasons of replies to Resume, besides those of calls.
const (
	// ReasonNeverCame means that the call has not come, and does not run if it still does.
	ReasonNeverCame = "the call never came"
	// ReasonOtherIncarnation means that this daemon has started after the call was sent, so nothing is known of it.
	ReasonOtherIncarnation = "the daemon has started anew"
	// ReasonReplyDropped means that the call has ended, and its reply is not kept any more.
	ReasonReplyDropped = "the reply is not kept any more"
)

// Resume returns the reply to a call whose connection broke before the entry daemon had it. It waits for the end of a
// call that runs. A call that has not come is kept from running, so that it certainly has not run and may be sent
// elsewhere.
func (o *Owner) Resume(r message.Resumption) message.Reply {
	k := callKey{r.Entry, r.Number}
	now := time.Now()
	o.mu.Lock()
	if r.Incarnation != o.Incarnation || r.Age >= markLifetime {
		defer o.mu.Unlock()
		return message.Reply{Reason: ReasonOtherIncarnation, Load: o.load()}
	}
	tc, isOpen := o.calls[k]
	if isOpen && tc.cancel != nil {
		o.mu.Unlock()
		<-tc.ended
		return o.resultOf(k)
	}
	defer o.mu.Unlock()
	if _, isKnown := o.results.find(k); !isKnown {
		o.results.bar(now, k)
		if isOpen {
			o.withdrawReservation(tc)
		}
	}
	return o.keptReply(k)
}

// resultOf returns the reply to a call that has ended.
func (o *Owner) resultOf(k callKey) message.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keptReply(k)
}

// keptReply returns the reply to a call that has ended or is barred; the caller holds the lock.
func (o *Owner) keptReply(k callKey) message.Reply {
	m, ok := o.results.find(k)
	switch {
	case ok && m.isBarred:
		return message.Reply{Outcome: message.NotRun, Reason: ReasonNeverCame, Load: o.load()}
	case ok && m.reply != nil:
		return *m.reply
	}
	return message.Reply{Reason: ReasonReplyDropped, Load: o.load()}
}
