package logbook

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is the mean rate of lines below the level of warnings that are written.
	linesPerSecond = 100
	// burstLines is the number of lines below the level of warnings that may be written at once.
	burstLines = 400
	// queueLength is the number of lines that may wait for the output.
	queueLength = 1024
)

// Writer writes the log lines of one process to Output; its exported fields are set before Run.
type Writer struct {
	Output io.Writer

	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	stop    chan struct{}
}

// Run starts the writer.
func (w *Writer) Run() {
	w.lines = make(chan []byte, queueLength)
	w.limiter = rate.NewLimiter(linesPerSecond, burstLines)
	w.done = make(chan struct{})
	w.stop = make(chan struct{})
	go w.write()
}

// Stop writes the queued lines and ends the writer.
func (w *Writer) Stop() {
	close(w.stop)
	<-w.done
}

// Done returns a channel that is closed once the writer has ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Dropped returns the number of lines that were dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Logger returns a logger that writes to w.
func (w *Writer) Logger() *slog.Logger {
	shared := &encoder{}
	return slog.New(&handler{writer: w, shared: shared, text: slog.NewTextHandler(&shared.buffer, nil)})
}

// write writes the queued lines until Stop is called, and logs the number of dropped lines whenever it has changed and
// the queue is empty.
func (w *Writer) write() {
	defer close(w.done)
	var reported int64
	for {
		select {
		case line := <-w.lines:
			w.output(line)
		case <-w.stop:
			w.drain()
			return
		}
		if dropped := w.dropped.Load(); dropped != reported && len(w.lines) == 0 {
			w.output([]byte("time=" + time.Now().Format(time.RFC3339Nano) + " level=WARN msg=\"logbook: lines dropped\" total=" + strconv.FormatInt(dropped, 10) + "\n"))
			reported = dropped
		}
	}
}

// drain writes the lines that are still queued.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.output(line)
		default:
			return
		}
	}
}

// output writes a line and ignores a failure.
func (w *Writer) output(line []byte) {
	// There is nowhere else to report that the log itself can't be written.
	_, _ = w.Output.Write(line)
}

// add queues a line, or drops and counts it if the queue is full or the rate is exceeded. Warnings and errors are
// exempt from the rate.
func (w *Writer) add(line []byte, level slog.Level) {
	if level < slog.LevelWarn && !w.limiter.Allow() {
		w.dropped.Add(1)
		return
	}
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
}

// encoder is the buffer into which all handlers of a logger encode, one at a time.
type encoder struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// handler is a slog handler that queues encoded lines.
type handler struct {
	writer *Writer
	shared *encoder
	text   slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, l slog.Level) bool { return l >= slog.LevelInfo }

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	h.shared.buffer.Reset()
	if err := h.text.Handle(ctx, r); err != nil {
		return err
	}
	h.writer.add(bytes.Clone(h.shared.buffer.Bytes()), r.Level)
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &handler{writer: h.writer, shared: h.shared, text: h.text.WithAttrs(attributes)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{writer: h.writer, shared: h.shared, text: h.text.WithGroup(name)}
}
