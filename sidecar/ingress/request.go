package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"siskinspar.example/sidecar/memory"
)

// readRequest reads one request and reports whether another may follow it. It returns nil if the connection ended
// before the request was whole.
func (n *conn) readRequest(l Limits) (x *exchange, isOpen bool) {
	// If the deadline can't be set, the next read fails.
	_ = n.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	// The buffered bytes passed the limit reader while it was without limit, so they are deducted here. One byte more than
	// the limit may be read, so that headers of just HeaderBytes don't fail; headerSize then checks the limit.
	n.limit.Allow(max(0, l.HeaderBytes-n.reader.Buffered()) + 1)
	r, err := http.ReadRequest(n.reader)
	if err != nil {
		return n.refuse(headerStatus(err))
	}
	if headerSize(r) > l.HeaderBytes {
		return n.refuse(http.StatusRequestHeaderFieldsTooLarge)
	}
	n.limit.AllowAll()
	arrived := time.Now()
	if status := checkRequest(r); status != 0 {
		return n.refuse(status)
	}
	if r.ContentLength > int64(l.BodyBytes) {
		// The client may be waiting for a 100 Continue, so nothing is read.
		return n.refuse(http.StatusRequestEntityTooLarge)
	}
	n.allowBody(r)
	// If the deadline can't be set, the next read fails.
	_ = n.SetReadDeadline(time.Now().Add(l.IdleTimeout))
	body, err := memory.ReadBody(r.Body, r.ContentLength, l.BodyBytes, n.server.Memory)
	if err != nil {
		return n.refuse(bodyStatus(err))
	}
	if !n.server.Memory.Acquire(len(body)) {
		return n.refuse(http.StatusServiceUnavailable)
	}
	// The length of an HTTP/1.0 request with a transfer encoding is ambiguous, so nothing after such a request is read.
	isLast := r.Close || !r.ProtoAtLeast(1, 1)
	x = &exchange{request: &Request{Request: r, BodyContent: body, Arrived: arrived}, response: make(chan *Response, 1), isLast: isLast, held: len(body)}
	return x, !isLast
}

// allowBody sends 100 Continue to a client that expects it before it sends its body, unless earlier requests of the
// connection are queued for their answers: the client would take the 100 Continue as part of the answer to one of these.
// The client then has to send its body without a 100 Continue.
func (n *conn) allowBody(r *http.Request) {
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && len(n.queue) == 0 {
		// If the write fails, the client sends its body without it or leaves.
		_ = n.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(n.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// refuse returns the last exchange of a connection, which answers an unreadable request with a status. For status 0 it
// returns nil and cancels the requests that are being served.
func (n *conn) refuse(status int) (*exchange, bool) {
	if status == 0 {
		n.cancel()
		return nil, false
	}
	x := &exchange{response: make(chan *Response, 1), isLast: true}
	x.response <- n.server.Handler.Refuse(status)
	return x, false
}

// headerStatus returns the status for a failure to read the headers, or 0 if the connection ended.
func headerStatus(err error) int {
	var networkError net.Error
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &networkError) && networkError.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &networkError):
		return 0
	}
	return http.StatusBadRequest
}

// bodyStatus returns the status for a failure to read the body, or 0 if the connection ended.
func bodyStatus(err error) int {
	var networkError net.Error
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, memory.ErrExhausted):
		return http.StatusServiceUnavailable
	case errors.As(err, &networkError) && networkError.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &networkError):
		return 0
	}
	return http.StatusBadRequest
}

// checkRequest returns 0, or the status with which to refuse a request that a backend server could interpret differently.
func checkRequest(r *http.Request) int {
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

// isInvalidValue reports whether v is not allowed as the value of a header.
func isInvalidValue(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }

// headerSize returns the approximate size in bytes of the request line and headers as they were sent.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}
