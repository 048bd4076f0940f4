package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

const (
	// bufferSize is the size of the read buffer of a connection in bytes.
	bufferSize = 4 << 10
	// maximumPipelined is the number of requests of one connection that are served at once.
	maximumPipelined = 32
	// lingerTimeout is how long the end of the client's side is waited for after the last answer.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds the time in which a client takes in one answer.
	writeTimeout = 30 * time.Second
)

// errHeaderTooLarge reports headers above the limit.
var errHeaderTooLarge = errors.New("the headers are larger than the limit")

// exchange is one request with the place of its answer in the order of answers.
type exchange struct {
	request  *Request
	response chan *Response
	isLast   bool
}

// conn is one connection of a client: one goroutine reads requests, one writes answers in order.
type conn struct {
	net.Conn
	server *Server
	limit  *limitReader
	reader *bufio.Reader
	queue  chan *exchange
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// isWaiting is true while no byte of the next request has come in.
	isWaiting bool
	isStopped bool
	// isClosing is true once an answer has told the client that the connection ends.
	isClosing bool
	hasEnded  bool
}

func newConn(s *Server, c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	l := &limitReader{reader: c, left: math.MaxInt}
	return &conn{Conn: c, server: s, limit: l, reader: bufio.NewReaderSize(l, bufferSize), queue: make(chan *exchange, maximumPipelined), ctx: ctx, cancel: cancel}
}

func (n *conn) run() {
	defer n.cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		n.write()
	}()
	n.read()
	n.mu.Lock()
	n.hasEnded = true
	n.mu.Unlock()
	close(n.queue)
	<-written
	n.linger()
}

// read takes requests in until the client leaves, a request can't be read, or the server stops.
func (n *conn) read() {
	for {
		limits := n.server.Limits()
		if !n.awaitRequest(limits.IdleTimeout) {
			return
		}
		x, isOpen := n.readRequest(limits)
		if x == nil {
			return
		}
		n.queue <- x
		if x.request != nil {
			go func() { x.response <- n.server.Handler.Serve(n.ctx, x.request) }()
		}
		if !isOpen {
			n.watch()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request; the end of the connection cancels the requests that are served.
func (n *conn) awaitRequest(idle time.Duration) bool {
	if !n.startWaiting(idle) {
		return false
	}
	_, err := n.reader.Peek(1)
	n.mu.Lock()
	n.isWaiting = false
	isClosing := n.isClosing
	n.mu.Unlock()
	if err == nil {
		return !isClosing
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		n.cancel()
	}
	return false
}

func (n *conn) startWaiting(idle time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isClosing || n.isStopped && n.reader.Buffered() == 0 {
		return false
	}
	n.isWaiting = true
	n.limit.left = math.MaxInt
	// A failure to set the deadline shows as a failure of the read.
	_ = n.SetReadDeadline(time.Now().Add(idle))
	return true
}

// stopReading ends the wait for another request; a request of which bytes have come in is still read.
func (n *conn) stopReading() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isStopped = true
	if n.isWaiting {
		// A failure to set the deadline shows as a failure of the read.
		_ = n.SetReadDeadline(time.Now())
	}
}

// readRequest reads one request; nil means that the connection ended within it.
func (n *conn) readRequest(l Limits) (x *exchange, isOpen bool) {
	// A failure to set the deadline shows as a failure of the read.
	_ = n.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	n.limit.left = max(0, l.HeaderBytes-n.reader.Buffered()) + 1
	r, err := http.ReadRequest(n.reader)
	if err != nil {
		return n.refuse(headerStatus(err))
	}
	if headerSize(r) > l.HeaderBytes {
		return n.refuse(http.StatusRequestHeaderFieldsTooLarge)
	}
	n.limit.left = math.MaxInt
	arrived := time.Now()
	if status := check(r); status != 0 {
		return n.refuse(status)
	}
	if r.ContentLength > int64(l.BodyBytes) {
		return n.refuse(http.StatusRequestEntityTooLarge)
	}
	n.allowBody(r)
	// A failure to set the deadline shows as a failure of the read.
	_ = n.SetReadDeadline(time.Now().Add(l.IdleTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(l.BodyBytes)+1))
	if err != nil {
		return n.refuse(bodyStatus(err))
	}
	if len(body) > l.BodyBytes {
		return n.refuse(http.StatusRequestEntityTooLarge)
	}
	// The length of an HTTP/1.0 request is in doubt where it names a transfer encoding, so nothing behind it is read.
	isLast := r.Close || !r.ProtoAtLeast(1, 1)
	x = &exchange{request: &Request{Request: r, Content: body, Arrived: arrived}, response: make(chan *Response, 1), isLast: isLast}
	return x, !isLast
}

// allowBody tells a client that waits for consent to send its body.
func (n *conn) allowBody(r *http.Request) {
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && len(n.queue) == 0 {
		// A failure to write shows again when the body is read.
		_, _ = io.WriteString(n.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// refuse answers a request that can't be read and ends the connection; status 0 ends it without an answer.
func (n *conn) refuse(status int) (*exchange, bool) {
	if status == 0 {
		n.cancel()
		return nil, false
	}
	x := &exchange{response: make(chan *Response, 1), isLast: true}
	x.response <- n.server.Handler.Refuse(status)
	return x, false
}

func headerStatus(err error) int {
	var netError net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netError) && netError.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netError):
		return 0
	}
	return http.StatusBadRequest
}

func bodyStatus(err error) int {
	var netError net.Error
	switch {
	case errors.As(err, &netError) && netError.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netError):
		return 0
	}
	return http.StatusBadRequest
}

// check refuses what could be read in two ways further on.
func check(r *http.Request) int {
	isHTTP11 := r.ProtoMajor == 1 && r.ProtoMinor == 1
	switch {
	case r.ProtoMajor != 1:
		return http.StatusHTTPVersionNotSupported
	case isHTTP11 && r.Host == "":
		return http.StatusBadRequest
	case !strings.HasPrefix(r.RequestURI, "/") && r.RequestURI != "*":
		return http.StatusBadRequest
	case r.Method == http.MethodConnect, !httpguts.ValidHostHeader(r.Host):
		return http.StatusBadRequest
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, isInvalidValue) {
			return http.StatusBadRequest
		}
	}
	return 0
}

func isInvalidValue(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }

func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// watch notes that the client leaves while its last request is served.
func (n *conn) watch() {
	go func() {
		// A failure to set the deadline shows as a failure of the read.
		_ = n.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, n.reader); !errors.Is(err, os.ErrDeadlineExceeded) {
			n.cancel()
		}
	}()
}

// linger lets the last answer arrive: closing with unread bytes would reset the connection.
func (n *conn) linger() {
	defer n.Close()
	t, ok := n.Conn.(*net.TCPConn)
	if !ok || n.ctx.Err() != nil || t.CloseWrite() != nil {
		return
	}
	// Only the end of the wait matters here, not how the client ended the connection.
	_ = n.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, n.Conn)
}

// limitReader fails once more bytes are read than the headers of a request may have.
type limitReader struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	read, err := l.reader.Read(p)
	l.left -= read
	return read, err
}
