package bandwidth

import (
	"io"
	"sync"
	"time"
)

const (
	// linkShare is the share of the link that is used, so that its queue empties again.
	linkShare = 0.95
	// stepTime is the time on the link of the part of a large write that is sent at once.
	stepTime    = 10 * time.Millisecond
	bitsPerByte = 8
)

// Pacer paces the large writes of one instance; a nil Pacer paces nothing. It is safe for concurrent use, and its lock is taken last.
type Pacer struct {
	step int

	mu       sync.Mutex
	schedule Schedule
}

// NewPacer returns a pacer for a link of some bits a second, or nil for an unknown link.
func NewPacer(bitsPerSecond float64) *Pacer {
	if bitsPerSecond <= 0 {
		return nil
	}
	rate := linkShare * bitsPerSecond / bitsPerByte
	return &Pacer{step: max(1, int(rate*stepTime.Seconds())), schedule: Schedule{BytesPerSecond: rate}}
}

// Backlog returns how long a large write that came now would wait for the link.
func (p *Pacer) Backlog(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.schedule.Backlog(now)
}

// Duration returns how long a write of some bytes takes.
func (p *Pacer) Duration(size int) time.Duration {
	if p == nil {
		return 0
	}
	return p.schedule.Duration(size)
}

// Writer returns a writer that takes its turn on the link with each large write; small writes don't wait.
func (p *Pacer) Writer(w io.Writer) io.Writer {
	if p == nil {
		return w
	}
	return &writer{pacer: p, to: w}
}

func (p *Pacer) reserve(now time.Time, size int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.schedule.Reserve(now, size)
}

type writer struct {
	pacer *Pacer
	to    io.Writer
}

// Write implements io.Writer.
func (w *writer) Write(b []byte) (int, error) {
	start := w.pacer.reserve(time.Now(), len(b))
	if len(b) <= w.pacer.step {
		return w.to.Write(b)
	}
	written := 0
	for written < len(b) {
		time.Sleep(time.Until(start.Add(w.pacer.schedule.Duration(written))))
		n, err := w.to.Write(b[written:min(len(b), written+w.pacer.step)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
