package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/connection"
	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/message"
)

const (
	// readBufferSize is the size of the read buffer of a connection in bytes.
	readBufferSize = 4 << 10
	// defaultIdleTimeout is how long an idle connection stays usable if the server announces no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout of the server, so that this side stops using the connection first.
	idleMargin = time.Second
	// maximumStrayAnswers is the largest number of answers to other requests that are skipped before the answer to the
	// current request.
	maximumStrayAnswers = 2
	// maximumHeadSize limits the heads of one answer, in bytes: its own and those of the interim answers before it.
	maximumHeadSize = 64 << 10
)

// answer is a whole answer, or the error that occurred instead.
type answer struct {
	response *http.Response
	body     []byte
	// isReusable is true if the connection may carry another request.
	isReusable bool
	err        error
}

// exchange is a request on a connection, with the ID that its answer must have in the header idHeader.
type exchange struct {
	request  *http.Request
	idHeader string
	id       string
}

// isAnsweredBy reports whether the response has the ID of the request; any response does if the request has no ID.
func (x exchange) isAnsweredBy(response *http.Response) bool {
	return x.id == "" || response.Header.Get(x.idHeader) == x.id
}

// conn is a connection to the backend server. It carries one request at a time.
type conn struct {
	net.Conn
	client *Client
	// limit bounds the size of heads; reader reads through it.
	limit   *memory.Limiter
	reader  *bufio.Reader
	answers chan answer
	// expected passes each request to the reading goroutine before the request is sent.
	expected chan exchange
	// broken is closed once the reading goroutine has ended; the connection can't be used again.
	broken chan struct{}
	// isUsed is true once a request was put on the connection.
	isUsed bool
	// expires is when the connection stops being usable while idle.
	expires time.Time
}

func newConn(c net.Conn, owner *Client) *conn {
	wrapped := connection.New(c)
	l := &memory.Limiter{Reader: wrapped}
	n := &conn{
		Conn: wrapped, client: owner, limit: l, reader: bufio.NewReaderSize(l, readBufferSize), answers: make(chan answer, 1),
		expected: make(chan exchange, 1), broken: make(chan struct{}),
	}
	go n.read()
	return n
}

// read reads answers until the connection breaks. It also waits for bytes while there is no request, so that the end of
// the connection and unexpected bytes are noticed at once.
func (n *conn) read() {
	defer close(n.broken)
	for {
		_, err := n.reader.Peek(1)
		var x exchange
		select {
		case x = <-n.expected:
		default:
			// Either bytes arrived without a request or the connection broke; it is not reused. It is closed at once,
			// since a server in trouble may go on sending. If it is closed already, the error does not matter.
			_ = n.Close()
			return
		}
		if err != nil {
			n.answers <- answer{err: eris.Wrap(err, "read the answer")}
			return
		}
		a := n.readAnswer(x)
		n.answers <- a
		if a.err != nil || !a.isReusable {
			return
		}
	}
}

// readAnswer reads answers until one has the ID of the request, skipping at most maximumStrayAnswers.
func (n *conn) readAnswer(x exchange) answer {
	for range maximumStrayAnswers + 1 {
		a := n.readOne(x.request)
		if a.err != nil {
			return a
		}
		if x.isAnsweredBy(a.response) {
			a.isReusable = a.isReusable && x.id != "" && n.reader.Buffered() == 0
			return a
		}
		if !a.isReusable {
			break
		}
	}
	return answer{err: eris.New("answers to other requests came in place of the own one")}
}

// readOne reads one whole answer, skipping interim ones, and sets when the connection expires. It waits for bytes as
// long as the connection is open: the deadline of the request closes it, since silence alone is no failure.
func (n *conn) readOne(r *http.Request) answer {
	response, err := n.readHead(r)
	if err != nil {
		return answer{err: eris.Wrap(err, "parse the answer")}
	}
	body, err := memory.ReadBody(response.Body, response.ContentLength, n.client.maximumBodySize(), n.client.Memory)
	if err != nil {
		return answer{err: eris.Wrap(err, "read the body of the answer")}
	}
	n.expires = time.Now().Add(idleTimeout(response))
	return answer{response: response, body: body, isReusable: !response.Close}
}

// readHead reads the head of an answer and those of the interim answers before it, which are dropped.
func (n *conn) readHead(r *http.Request) (*http.Response, error) {
	n.limit.Allow(maximumHeadSize - n.reader.Buffered())
	defer n.limit.AllowAll()
	for {
		response, err := http.ReadResponse(n.reader, r)
		if err != nil {
			return nil, err
		}
		switch a := (message.Answer{Status: response.StatusCode}); {
		case a.IsFinal():
			return response, nil
		case a.Status < http.StatusContinue || a.Status >= http.StatusOK || a.Status == http.StatusSwitchingProtocols:
			return nil, eris.Errorf("%03d is not the status of an answer", a.Status)
		}
	}
}

// idleTimeout returns how long the connection may stay unused after an answer, from its Keep-Alive header.
func idleTimeout(response *http.Response) time.Duration {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdleTimeout
		}
		announced := time.Duration(seconds) * time.Second
		return max(announced-idleMargin, announced/2)
	}
	return defaultIdleTimeout
}

// isUsable reports whether the connection is neither broken nor expired.
func (n *conn) isUsable(now time.Time) bool {
	select {
	case <-n.broken:
		return false
	default:
		return now.Before(n.expires)
	}
}
