package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"siskinspar.example/sidecar/connection"
	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/recovery"
)

const (
	// readBufferSize is the size of the read buffer of a connection in bytes.
	readBufferSize = 4 << 10
	// maximumPipelined limits the requests of one connection that wait for their answers, and are thus served
	// concurrently.
	maximumPipelined = 32
	// lingerTimeout is how long to wait, after the last answer, until the client closes its side of the connection. A
	// connection has to be unused for as long to be closed by a server that stops.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout limits the time that a client takes to receive one answer.
	writeTimeout = 30 * time.Second
)

// exchange is a request and its answer. Exchanges are queued in the order in which they have to be answered.
type exchange struct {
	// request is nil if the request could not be read; response then holds the refusal.
	request  *Request
	response chan *Response
	// isLast is true if the connection closes after this answer.
	isLast bool
	// held is the number of bytes taken from the memory budget until the answer is ready.
	held int
}

// conn is the connection of a client. One goroutine reads requests, and another writes the answers in order.
type conn struct {
	net.Conn
	server *Server
	// limit bounds the size of headers; reader reads through it.
	limit  *memory.Limiter
	reader *bufio.Reader
	// queue holds the exchanges that the writer has not taken yet, in the order of their requests.
	queue chan *exchange
	// ctx is cancelled when the client disconnects or the connection has ended.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// isWaiting is true while the reader waits for the first byte of the next request, for up to idle if none is unanswered.
	isWaiting bool
	idle      time.Duration
	// isReading is true from the first byte of a request until it was read.
	isReading bool
	// unanswered is the number of requests that were read and have no answer yet.
	unanswered int
	// usedAt is when the last answer was sent, or when the connection was accepted.
	usedAt time.Time
	// isClosing is true once an answer tells the client that the connection closes.
	isClosing bool
	// isCloseTold is true once an answer that tells the client of the close was sent; it is used by the writer, and by run
	// after the writer has ended.
	isCloseTold bool
	// accepted is when the connection was accepted.
	accepted time.Time
}

func newConn(s *Server, c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	l := &memory.Limiter{Reader: connection.New(c)}
	now := time.Now()
	return &conn{Conn: c, server: s, limit: l, reader: bufio.NewReaderSize(l, readBufferSize), queue: make(chan *exchange, maximumPipelined), ctx: ctx, cancel: cancel, usedAt: now, accepted: now}
}

// run serves the connection until it has ended.
func (n *conn) run() {
	defer n.cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		n.write()
	}()
	n.read()
	close(n.queue)
	<-written
	n.linger()
}

// read reads and queues requests until the client disconnects, a request can't be read, or the server drains.
func (n *conn) read() {
	for {
		limits := n.server.Limits()
		if !n.awaitRequest(limits.IdleTimeout) {
			return
		}
		x, isOpen := n.readRequest(limits)
		n.recordRead(x)
		if x == nil {
			return
		}
		n.queue <- x
		if x.request != nil {
			go func() { x.response <- n.serve(x.request) }()
		}
		if !isOpen {
			n.cancelOnDisconnect()
			return
		}
	}
}

// recordRead records that a request was read, or that it can't be if x is nil.
func (n *conn) recordRead(x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isReading = false
	if x != nil {
		n.unanswered++
	}
}

// serve returns the answer to a request. After a panic it may have run, so that the answer promises nothing.
func (n *conn) serve(r *Request) (response *Response) {
	defer recovery.Handle(n.server.Logger, "ingress", func() {
		response = &Response{Status: http.StatusBadGateway, Header: http.Header{}}
	})
	return n.server.Handler.Serve(n.ctx, r)
}

// awaitRequest waits for the first byte of a request, and reports whether to read the request. The wait ends when the
// connection was unused for idle or, once the server stops, for lingerTimeout; what has arrived until then is read. If
// the client disconnects meanwhile, the requests that are being served are cancelled.
func (n *conn) awaitRequest(idle time.Duration) bool {
	if !n.startWaiting(idle) {
		return false
	}
	_, err := n.reader.Peek(1)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		n.cancel()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isWaiting = false
	n.isReading = err == nil && !n.isClosing
	return n.isReading
}

// startWaiting sets the deadline for the first byte of a request, and reports false if no further request is read.
func (n *conn) startWaiting(idle time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isClosing {
		return false
	}
	n.isWaiting = true
	n.idle = idle
	n.limit.AllowAll()
	n.limitWait()
	return true
}

// limitWait sets the deadline of the wait for a request, if there is one. The caller holds mu.
func (n *conn) limitWait() {
	var deadline time.Time
	switch {
	case !n.isWaiting:
		return
	case n.isClosing:
		deadline = time.Now()
	case n.unanswered > 0:
		// The end of the connection has to be noticed while a request is served.
	case n.server.isStopping.Load():
		deadline = n.usedAt.Add(lingerTimeout)
	default:
		deadline = n.usedAt.Add(n.idle)
	}
	// If the deadline can't be set, the next read fails.
	_ = n.SetReadDeadline(deadline)
}

// applyStop applies the stop of the server to a connection that waits for a request.
func (n *conn) applyStop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limitWait()
}

// cancelOnDisconnect cancels the requests that are being served when the client disconnects. It is called when no
// further request is read, and discards what the client still sends, also the rest of one that was refused.
func (n *conn) cancelOnDisconnect() {
	n.limit.AllowAll()
	// If the deadline can't be set, the next read fails.
	_ = n.SetReadDeadline(time.Time{})
	go func() {
		if _, err := io.Copy(io.Discard, n.reader); !errors.Is(err, os.ErrDeadlineExceeded) {
			n.cancel()
		}
	}()
}

// linger closes the connection. After an answer that told the client of the close, it waits until the client has closed
// its side or lingerTimeout has passed: closing it with unread bytes would reset it, and that answer could be lost. On
// another connection nothing more is read, so that the client learns by the reset that a request was not.
func (n *conn) linger() {
	defer n.Close()
	t, ok := n.Conn.(*net.TCPConn)
	if !ok || !n.isCloseTold || n.ctx.Err() != nil || t.CloseWrite() != nil {
		return
	}
	// It does not matter how the client ends the connection, so errors are ignored.
	_ = n.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, n.Conn)
}
