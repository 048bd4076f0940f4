package slope_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"siskinspar.example/capacity/slope"
	"siskinspar.example/daemon/roster"
	"siskinspar.example/declaration"
	"siskinspar.example/declaration/snapshot"
	"siskinspar.example/distribution"
	"siskinspar.example/membership"
	"siskinspar.example/timeline"
	"siskinspar.example/versionlog"
	"siskinspar.example/versionlog/record"
)

func BenchmarkConfiguration(b *testing.B) {
	for _, services := range []int{290, 1450, 2900} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			size := float64(services)
			set := must[declaration.Set](b)(slope.NewSet(services))
			labels := declaration.Labels{"group": slope.GroupOf(7)}
			keep(b, "state.memory", size, "B", retained(func() any {
				return must[versionlog.State](b)(slope.NewState(must[declaration.Set](b)(slope.NewSet(services))))
			}))
			keep(b, "compile.time", size, "s", times(func() { must[*snapshot.Snapshot](b)(snapshot.Compile(1, set, labels)) })...)
			state := must[versionlog.State](b)(slope.NewState(set))
			change := must[versionlog.Change](b)(slope.NewChange(state, 7, time.Unix(1, 0)))
			keep(b, "apply.time", size, "s", times(func() { must[versionlog.State](b)(state.Apply(change)) })...)
			image := must[[]byte](b)(record.Encode(state.Image()))
			present := must[*snapshot.Snapshot](b)(snapshot.Compile(1, set, labels))
			next := must[versionlog.State](b)(state.Apply(change))
			keep(b, "advance.time", size, "s", times(func() {
				must[*snapshot.Snapshot](b)(present.Advance(2, next.Set(), change.Edits(), labels))
			})...)
			far := must[versionlog.Change](b)(slope.NewChange(state, services-1, time.Unix(1, 0)))
			other := must[versionlog.State](b)(state.Apply(far))
			keep(b, "advance.other.time", size, "s", times(func() {
				must[*snapshot.Snapshot](b)(present.Advance(2, other.Set(), far.Edits(), labels))
			})...)
			keep(b, "image.bytes", size, "B", float64(len(image)))
			keep(b, "restore.time", size, "s", times(func() {
				var m versionlog.Image
				if err := record.Decode(image, &m); err != nil {
					b.Fatal(err)
				}
				must[versionlog.State](b)(versionlog.Restore(m))
			})...)
		})
	}
}

const (
	centres  = 33
	services = 2900
)

func BenchmarkDirectory(b *testing.B) {
	for _, daemons := range []int{2100, 10500, 21000} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			size := float64(daemons)
			keep(b, "directory.memory", size, "B", retained(func() any { return slope.NewMachine(daemons, services, centres) }))
			m := slope.NewMachine(daemons, services, centres)
			now := time.Unix(2, 0)
			keep(b, "tick.time", size, "s", times(func() {
				now = now.Add(time.Second)
				for range 100 {
					m.Tick(now)
				}
			})...)
			collected[len(collected)-1] = scaled(collected[len(collected)-1], 0.01)
			keep(b, "merge.time", size, "s", times(func() { mergeOne(m, daemons) })...)
			keep(b, "summaries.time", size, "s", times(func() { m.Summaries() })...)
			keep(b, "records.time", size, "s", times(func() { m.Records([]membership.Bucket{{DataCentre: "region-00-a", Index: 3}}) })...)
			set := must[declaration.Set](b)(slope.NewSet(services))
			n := must[*snapshot.Snapshot](b)(snapshot.Compile(1, set, declaration.Labels{"group": slope.GroupOf(0)}))
			route, _ := n.Find("intent-00000-0")
			keep(b, "candidates.first.time", size, "s", times(func() { newRoster(m).Candidates(n, route) })...)
			r := newRoster(m)
			r.Candidates(n, route)
			keep(b, "candidates.update.time", size, "s", times(func() {
				mergeOne(m, daemons)
				r.Do(func(*membership.Machine) {})
				r.Candidates(n, route)
			})...)
			keep(b, "spread.time", size, "s", times(func() {
				distribution.Spread(m.Group("region-00-a"), "instance-00000", distribution.Everyone)
			})...)
		})
	}
}

func newRoster(m *membership.Machine) *roster.Roster {
	return &roster.Roster{Machine: m, Recorder: &timeline.Recorder{Instance: "x", Clock: &timeline.Clock{}}}
}

func mergeOne(m *membership.Machine, daemons int) {
	r := slope.NewRecord(1+rand.IntN(daemons-1), services, centres)
	known, _ := m.Find(r.ID)
	r.Incarnation = known.Incarnation + 1
	m.Merge(time.Unix(3, 0), []membership.Record{r})
}

func BenchmarkWire(b *testing.B) {
	for _, count := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			var records []membership.Record
			for i := range count {
				records = append(records, slope.NewRecord(i, services, centres))
			}
			keep(b, "record.bytes", float64(count), "B", encodedSize(b, membership.Probe{From: "instance-00000", Gossip: records}))
		})
	}
}

// encodedSize returns the bytes of a message on a connection that has carried its type before.
func encodedSize(b *testing.B, message any) float64 {
	var buffer bytes.Buffer
	e := gob.NewEncoder(&buffer)
	for range 2 {
		buffer.Reset()
		if err := e.Encode(message); err != nil {
			b.Fatal(err)
		}
	}
	return float64(buffer.Len())
}
