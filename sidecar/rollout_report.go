package sidecar

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/sidecar/rollout"
)

// report sends the counts of this daemon to the roll-out controller, if that is due and a roll-out runs.
func (r *rollouts) report(ctx context.Context, now time.Time, controller string) {
	own := r.sidecar.Settings.Daemons
	if controller == "" || now.Sub(r.lastReport()) < reportPeriod || controller != own && r.isReporting.Swap(true) {
		return
	}
	report, isRunning := r.takeReport(now)
	if controller == own {
		r.receive(now, report)
		return
	}
	if !isRunning {
		r.isReporting.Store(false)
		return
	}
	go func() {
		defer r.isReporting.Store(false)
		limited, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		var reply message.RolloutSteps
		if err := r.sidecar.pool.Connection(controller, peer.TrafficControl).Call(limited, peer.ServiceName+".ReportRollout", &report, &reply); err != nil {
			metrics.GetOrRegisterCounter("rollout.reports-failed", r.sidecar.registry).Inc(1)
			r.returnReport(report)
			return
		}
		r.learn(time.Now(), reply.Rollouts)
	}()
}

func (r *rollouts) lastReport() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reportedAt
}

// takeReport returns the report of this daemon, and whether a roll-out runs.
func (r *rollouts) takeReport(now time.Time) (report message.RolloutReport, isRunning bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedAt = now
	report = message.RolloutReport{Entry: r.sidecar.Settings.Daemons, Incarnation: r.sidecar.incarnation}
	for _, c := range r.book.Courses() {
		known := c.Rollout()
		if known.Step.IsEnded() {
			continue
		}
		counts, requests, exposed := c.Take()
		report.Services = append(report.Services, message.RolloutCounts{
			Service: known.Order.Service(), Version: known.Order.Version(), Era: known.Order.Era(), Requests: requests, Exposed: exposed, Counts: counts,
		})
	}
	return report, len(report.Services) > 0
}

// returnReport keeps the counts of a report that failed for the next one. The roll-out controller may have got them, and
// then counts them twice.
func (r *rollouts) returnReport(report message.RolloutReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range report.Services {
		if c := r.book.Course(s.Service); c != nil && c.Rollout().Order.Version() == s.Version {
			c.Return(s.Counts)
		}
	}
}

// receive adds the report of an entry daemon. Counts of another order than the latest are left out.
func (r *rollouts) receive(now time.Time, report message.RolloutReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := rollout.Entry{Address: report.Entry, Incarnation: report.Incarnation}
	for _, s := range report.Services {
		c := r.book.Course(s.Service)
		if c == nil || c.Rollout().Order.Version() != s.Version {
			continue
		}
		c.Receive(now, from, s.Counts, s.Requests, s.Exposed)
	}
}
