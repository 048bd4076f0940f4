package bandwidth

import (
	"io"
	"sync"
	"time"
)

const (
	// linkShare is the share of the capacity of the link that large writes use; below 1, so that its queue empties
	// again.
	linkShare = 0.95
	// chunkTime is how long the link takes to send one chunk of a large write; a write of one chunk or less is not
	// delayed.
	chunkTime   = 10 * time.Millisecond
	bitsPerByte = 8
)

// Pacer limits the rate of the large writes of one instance; a nil Pacer limits nothing. It is safe for concurrent use.
// No other lock is taken while its own is held, so its methods may be called under any lock.
type Pacer struct {
	// chunkSize is the number of bytes of a large write that are written at once.
	chunkSize int

	mu       sync.Mutex
	schedule Schedule
}

// NewPacer returns a pacer for a link of the given capacity, or nil if the capacity is unknown, which is 0.
func NewPacer(bitsPerSecond float64) *Pacer {
	if bitsPerSecond <= 0 {
		return nil
	}
	rate := linkShare * bitsPerSecond / bitsPerByte
	return &Pacer{chunkSize: max(1, int(rate*chunkTime.Seconds())), schedule: Schedule{BytesPerSecond: rate}}
}

// Backlog returns how long a large write that began now would wait for its turn on the link.
func (p *Pacer) Backlog(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.schedule.Backlog(now)
}

// Duration returns how long the link takes to send a write of some bytes, without the wait for its turn.
func (p *Pacer) Duration(size int) time.Duration {
	if p == nil {
		return 0
	}
	return p.schedule.Duration(size)
}

// Writer returns a writer to w. Each large write waits for its turn on the link and is written in chunks at the rate of
// the link; a small write counts for the link but is not delayed.
func (p *Pacer) Writer(w io.Writer) io.Writer {
	if p == nil {
		return w
	}
	return &writer{pacer: p, out: w}
}

// reserve takes the next turn on the link for a write and returns when it starts.
func (p *Pacer) reserve(now time.Time, size int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.schedule.Reserve(now, size)
}

// writer is the paced writer that Pacer.Writer returns.
type writer struct {
	pacer *Pacer
	out   io.Writer
}

// Write implements io.Writer; it returns after the last chunk is written or at the first error.
func (w *writer) Write(b []byte) (int, error) {
	start := w.pacer.reserve(time.Now(), len(b))
	if len(b) <= w.pacer.chunkSize {
		return w.out.Write(b)
	}
	written := 0
	for written < len(b) {
		time.Sleep(time.Until(start.Add(w.pacer.schedule.Duration(written))))
		n, err := w.out.Write(b[written:min(len(b), written+w.pacer.chunkSize)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
