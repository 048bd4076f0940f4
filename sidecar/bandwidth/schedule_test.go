package bandwidth_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/bandwidth"
)

// The load of a thin link: large answers take most of it, small messages share it.
const (
	linkBits    = 8e6
	linkBytes   = linkBits / 8
	largeSize   = 90_000
	smallSize   = 500
	largeLoad   = 0.75
	smallGap    = 10 * time.Millisecond
	span        = 60 * time.Second
	partOnWire  = 10 * time.Millisecond
	smallTarget = 50 * time.Millisecond
)

var start = time.Unix(1000, 0)

func TestWritesTakeTheirTurns(t *testing.T) {
	s := bandwidth.Schedule{BytesPerSecond: 1000}
	assert.Equal(t, s.Backlog(start), time.Duration(0))
	assert.Equal(t, s.Reserve(start, 500), start)
	assert.Equal(t, s.Backlog(start), 500*time.Millisecond)
	assert.Equal(t, s.Reserve(start, 100), start.Add(500*time.Millisecond))
	assert.Equal(t, s.Reserve(start.Add(time.Hour), 100), start.Add(time.Hour), "an idle link saves nothing up")
}

// packet is a message, or a part of one, that enters the link.
type packet struct {
	at      time.Time
	size    int
	isSmall bool
}

// waits returns how long the small messages wait on a link that sends in order of entry, in ascending order.
func waits(packets []packet) []time.Duration {
	slices.SortFunc(packets, func(a, b packet) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	var all []time.Duration
	free := start
	for _, p := range packets {
		begin := p.at
		if free.After(begin) {
			begin = free
		}
		if p.isSmall {
			all = append(all, begin.Sub(p.at))
		}
		free = begin.Add(time.Duration(float64(p.size) / linkBytes * float64(time.Second)))
	}
	slices.Sort(all)
	return all
}

func load(seed uint64, isPaced bool) []packet {
	r := rand.New(rand.NewPCG(seed, 1))
	s := bandwidth.Schedule{BytesPerSecond: 0.9 * linkBytes}
	var packets []packet
	part := int(0.9 * linkBytes * partOnWire.Seconds())
	gap := largeSize / linkBytes / largeLoad * float64(time.Second)
	for at := start; at.Before(start.Add(span)); at = at.Add(time.Duration(r.ExpFloat64() * gap)) {
		if !isPaced {
			packets = append(packets, packet{at: at, size: largeSize})
			continue
		}
		turn := s.Reserve(at, largeSize)
		for sent := 0; sent < largeSize; sent += part {
			packets = append(packets, packet{at: turn.Add(s.Duration(sent)), size: min(part, largeSize-sent)})
		}
	}
	for at := start; at.Before(start.Add(span)); at = at.Add(smallGap) {
		packets = append(packets, packet{at: at, size: smallSize, isSmall: true})
	}
	return packets
}

// TestSmallMessagesPassLargeAnswersOnAThinLink plays a link that large answers fill to three quarters: a small message
// that waits behind whole answers misses the time in which a nested call has to be answered.
func TestSmallMessagesPassLargeAnswersOnAThinLink(t *testing.T) {
	for seed := range uint64(10) {
		paced, plain := waits(load(seed, true)), waits(load(seed, false))
		last := len(paced) * 99 / 100
		assert.Assert(t, paced[last] < smallTarget, "seed %d: %v", seed, paced[last])
		assert.Assert(t, plain[len(plain)/2] > smallTarget, "seed %d: without pacing the load would be no trouble: %v", seed, plain[len(plain)/2])
	}
}
