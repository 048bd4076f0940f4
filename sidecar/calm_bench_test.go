package sidecar_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCalmCalls reports the calls of the store that a mesh makes while nothing changes, for each daemon and minute.
func BenchmarkCalmCalls(b *testing.B) {
	for _, size := range []struct{ daemons, centres int }{{18, 3}, {90, 5}} {
		b.Run(fmt.Sprintf("%d daemons", size.daemons), func(b *testing.B) {
			d := newDeployment(b)
			d.configure(1, "desk")
			for n := range size.daemons {
				i := d.addIn(fmt.Sprint("zone-", n%size.centres), "desk")
				if n == 0 {
					d.await(i, "server-0")
				}
			}
			time.Sleep(10 * time.Second)
			const span = 30 * time.Second
			for b.Loop() {
				before := d.store.Counts()
				time.Sleep(span)
				after := d.store.Counts()
				calls := after.Reads + after.Writes - before.Reads - before.Writes
				b.ReportMetric(float64(calls)/float64(size.daemons)/span.Minutes(), "calls/daemon/min")
			}
		})
	}
}
