package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/message"
)

const (
	// dialTimeout limits the set-up of a connection to the backend server.
	dialTimeout = time.Second
	// writeTimeout limits the write of a request.
	writeTimeout = 2 * time.Second
	// writeGrace is how long to wait for the write of a request to return once its answer has arrived.
	writeGrace = 5 * time.Millisecond
)

// Outcome says how far a request got.
type Outcome int

// The outcomes of Client.Send.
const (
	// Answered means that a whole answer was received.
	Answered Outcome = iota
	// NotSent means that no byte of the request was sent.
	NotSent
	// Lost means that the request may have been executed, but no whole answer was received.
	Lost
	// Broken is Lost in one case: reading the answer failed on a connection that carried no earlier request. Package
	// owner treats it like Lost. Only the tests of this package distinguish them, to check that a failed read on a reused
	// connection is reported as Lost.
	Broken
)

// Result is the result of Client.Send.
type Result struct {
	Outcome Outcome
	// Answer is set if the outcome is Answered.
	Answer message.Answer
	// Err is set for all other outcomes. When the timeout ends the wait for the answer, the outcome is Lost and Err is
	// context.DeadlineExceeded.
	Err error
	// IsRefused is true if the outcome is NotSent because the server refused the connection.
	IsRefused bool
}

// Client sends requests to one backend server. The exported fields are set before use; it is then safe for concurrent
// use.
type Client struct {
	// Address is the TCP address of the backend server.
	Address string
	// MaximumConnections is the maximum number of open connections, or 0 for no limit.
	MaximumConnections int
	// IDHeader is the name of the header that holds the ID of a request; the server echoes it in its answer.
	IDHeader string
	// OnDial, if set, is called before each attempt to open a connection.
	OnDial func()
	// MaximumBodySize is the largest body of an answer in bytes, or 0 for defaultBodySize.
	MaximumBodySize int
	// Memory bounds the bodies of answers while they are read; nil means no limit.
	Memory *memory.Budget

	mu sync.Mutex
	// idle holds the unused open connections, the most recently used last.
	idle []*conn
	// open counts the connections in use, idle or being dialled.
	open int
	// failed holds the IDs of requests that were answered with a status of 400 or more.
	failed recentIDs
}

// defaultBodySize limits the body of an answer if the client has no other limit, in bytes.
const defaultBodySize = 64 << 20

// maximumBodySize returns the largest body of an answer in bytes.
func (c *Client) maximumBodySize() int {
	if c.MaximumBodySize > 0 {
		return c.MaximumBodySize
	}
	return defaultBodySize
}

// Send sends a request at most once and returns the whole answer. A request without an ID gets a new connection, since
// nothing would distinguish its answer from a late one to an earlier request, and so does one with an ID that was refused
// or failed before: the server may write that answer once more. A request whose context has ended is not sent. It waits for the answer until the context ends or the
// timeout, which starts when the connection is open, has passed. If the cause of the end is context.DeadlineExceeded, an
// answer that has arrived is still read.
func (c *Client) Send(ctx context.Context, q message.Request, header http.Header, timeout time.Duration) Result {
	id := header.Get(c.IDHeader)
	n, err := c.acquire(ctx, id != "" && !c.hasFailed(id))
	if err != nil {
		return Result{Outcome: NotSent, Err: err, IsRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	if ctx.Err() != nil {
		c.release(n)
		return Result{Outcome: NotSent, Err: context.Cause(ctx)}
	}
	r := newRequest(q, header)
	isReused := n.isUsed
	n.isUsed = true
	n.expected <- exchange{request: r, id: id, idHeader: c.IDHeader}
	written := make(chan error, 1)
	go func() { written <- n.write(r, len(q.Body)) }()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	a, err := n.await(ctx, written, timer.C)
	if err != nil {
		c.discard(n)
		return Result{Outcome: Lost, Err: err}
	}
	if a.err == nil && a.response.StatusCode >= http.StatusBadRequest {
		c.recordFailed(id)
	}
	return c.finish(n, a, isReused)
}

// hasFailed reports whether a request with an ID was answered with a status of 400 or more.
func (c *Client) hasFailed(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed.has(id)
}

func (c *Client) recordFailed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed.add(time.Now(), id)
}

// await waits for the answer. If it arrives before the whole request was sent, the connection is not reused.
func (n *conn) await(ctx context.Context, written <-chan error, expired <-chan time.Time) (answer, error) {
	isWritten := false
	for {
		select {
		case err := <-written:
			if err != nil {
				return n.arrivedAnswer(err)
			}
			isWritten = true
			written = nil
		case a := <-n.answers:
			a.isReusable = a.isReusable && (isWritten || isWriteComplete(written))
			return a, nil
		case <-n.broken:
			return n.lastAnswer(eris.New("the connection ended"))
		case <-expired:
			return n.arrivedAnswer(context.DeadlineExceeded)
		case <-ctx.Done():
			if cause := context.Cause(ctx); errors.Is(cause, context.DeadlineExceeded) {
				return n.arrivedAnswer(cause)
			}
			return n.wholeAnswer(ctx.Err())
		}
	}
}

// arrivedAnswer returns the answer if all of it has arrived, whether it is read yet or not, and otherwise the error. The
// connection is not used again.
func (n *conn) arrivedAnswer(err error) (answer, error) {
	// Ends the reading once nothing more lies in the socket. If the deadline can't be set, the connection has ended.
	_ = n.SetReadDeadline(time.Now())
	<-n.broken
	return n.wholeAnswer(err)
}

// wholeAnswer returns the answer that was read, or the error if there is none or reading it failed.
func (n *conn) wholeAnswer(err error) (answer, error) {
	a, missing := n.lastAnswer(err)
	if a.err != nil {
		return answer{}, err
	}
	return a, missing
}

// isWriteComplete reports whether a write succeeds within writeGrace. The write may return after the answer is read.
func isWriteComplete(written <-chan error) bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// lastAnswer returns the answer that was read before the connection broke, or the error if there is none.
func (n *conn) lastAnswer(err error) (answer, error) {
	select {
	case a := <-n.answers:
		a.isReusable = false
		return a, nil
	default:
		return answer{}, err
	}
}

// finish returns the connection to the idle ones or closes it, and converts the answer to a result.
func (c *Client) finish(n *conn, a answer, isReused bool) Result {
	if a.err != nil {
		c.discard(n)
		outcome := Lost
		if !isReused {
			outcome = Broken
		}
		return Result{Outcome: outcome, Err: a.err}
	}
	if a.isReusable {
		c.release(n)
	} else {
		c.discard(n)
	}
	return Result{Outcome: Answered, Answer: message.Answer{Status: a.response.StatusCode, Header: a.response.Header, Body: a.body}}
}

// newRequest builds the HTTP request to be written; it may add an empty User-Agent to the header.
func newRequest(q message.Request, header http.Header) *http.Request {
	r := &http.Request{
		Method: q.Method, URL: &url.URL{Opaque: q.Target}, Host: q.Host, Header: header,
		ProtoMajor: 1, ProtoMinor: 1,
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	if len(q.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(q.Body))
		r.ContentLength = int64(len(q.Body))
	}
	return r
}

// write encodes the request and sends it in one write; size is the length of the body in bytes.
func (n *conn) write(r *http.Request, size int) error {
	if err := n.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return eris.Wrap(err, "set the deadline of a request")
	}
	var b bytes.Buffer
	b.Grow(usualHeaderSize + size)
	if err := r.Write(&b); err != nil {
		return eris.Wrap(err, "encode the request")
	}
	if _, err := n.Conn.Write(b.Bytes()); err != nil {
		return eris.Wrap(err, "send the request")
	}
	return nil
}

// usualHeaderSize is the usual size of the headers of a request in bytes.
const usualHeaderSize = 1 << 10

// acquire returns the most recently used idle connection that is still usable, or opens one. Without mayReuse it always
// opens one.
func (c *Client) acquire(ctx context.Context, mayReuse bool) (*conn, error) {
	now := time.Now()
	c.mu.Lock()
	for mayReuse && len(c.idle) > 0 {
		n := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if n.isUsable(now) {
			c.mu.Unlock()
			return n, nil
		}
		c.open--
		// Closing a connection that broke while idle may fail; the error has no use.
		_ = n.Close()
	}
	if c.MaximumConnections > 0 && c.open >= c.MaximumConnections {
		c.mu.Unlock()
		return nil, eris.Errorf("all %d connections to %s are in use", c.MaximumConnections, c.Address)
	}
	c.open++
	c.mu.Unlock()
	return c.dial(ctx)
}

// dial opens a connection that is counted in open already, and uncounts it on failure.
func (c *Client) dial(ctx context.Context) (*conn, error) {
	if c.OnDial != nil {
		c.OnDial()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, eris.Wrapf(err, "connect to %s", c.Address)
	}
	return newConn(connection, c), nil
}

// release makes an open connection available to other requests.
func (c *Client) release(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, n)
}

// discard closes a connection that must not be reused.
func (c *Client) discard(n *conn) {
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
	// The server may have closed the connection first.
	_ = n.Close()
}

// Close closes the idle connections; those in use stay open until their request ends.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.open -= len(idle)
	c.mu.Unlock()
	for _, n := range idle {
		// The server may have closed the connection first.
		_ = n.Close()
	}
}
