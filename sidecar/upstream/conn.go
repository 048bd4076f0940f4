package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readBuffer is the size of the read buffer of a connection in bytes.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is kept whose server states no idle timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is kept from the idle timeout that the server states.
	idleMargin = time.Second
	// maximumStray is the number of answers to other requests that are passed over on a connection.
	maximumStray = 2
	// maximumBody bounds an answer held in memory, in bytes.
	maximumBody = 64 << 20
)

// answer is a parsed answer or the reason why there is none.
type answer struct {
	response *http.Response
	body     []byte
	isKept   bool
	err      error
}

// exchange is a request on a connection, with the ID that its answer has to bear.
type exchange struct {
	request  *http.Request
	idHeader string
	id       string
}

func (x exchange) isAnsweredBy(response *http.Response) bool {
	return x.id == "" || response.Header.Get(x.idHeader) == x.id
}

// conn is one connection to the backend server; one request is on it at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	answers chan answer
	// expected is handed to the reading goroutine with each request.
	expected chan exchange
	// broken is closed once the connection can't be used again.
	broken  chan struct{}
	isUsed  bool
	expires time.Time
}

func newConn(c net.Conn) *conn {
	n := &conn{
		Conn: c, reader: bufio.NewReaderSize(c, readBuffer), answers: make(chan answer, 1),
		expected: make(chan exchange, 1), broken: make(chan struct{}),
	}
	go n.read()
	return n
}

// read waits for bytes also while no request is on the connection, so that its end and unasked bytes are seen at once.
func (n *conn) read() {
	defer close(n.broken)
	for {
		_, err := n.reader.Peek(1)
		var x exchange
		select {
		case x = <-n.expected:
		default:
			// Bytes or an end without a request; whatever it is, the connection is not used again.
			return
		}
		if err != nil {
			n.answers <- answer{err: eris.Wrap(err, "read the answer")}
			return
		}
		a := n.readAnswer(x)
		n.answers <- a
		if a.err != nil || !a.isKept {
			return
		}
	}
}

// readAnswer reads answers until the one that bears the ID of the request.
func (n *conn) readAnswer(x exchange) answer {
	for range maximumStray + 1 {
		a := n.readOne(x.request)
		if a.err != nil {
			return a
		}
		if x.isAnsweredBy(a.response) {
			a.isKept = a.isKept && n.reader.Buffered() == 0
			return a
		}
		if !a.isKept {
			break
		}
	}
	return answer{err: eris.New("answers to other requests came in place of the own one")}
}

func (n *conn) readOne(r *http.Request) answer {
	for {
		response, err := http.ReadResponse(n.reader, r)
		if err != nil {
			return answer{err: eris.Wrap(err, "parse the answer")}
		}
		if response.StatusCode/100 == 1 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maximumBody+1))
		if err != nil {
			return answer{err: eris.Wrap(err, "read the body of the answer")}
		}
		if len(body) > maximumBody {
			return answer{err: eris.Errorf("the answer is larger than %d bytes", maximumBody)}
		}
		n.expires = time.Now().Add(idleTime(response))
		return answer{response: response, body: body, isKept: !response.Close}
	}
}

// idleTime returns how long the connection may stay unused after an answer.
func idleTime(response *http.Response) time.Duration {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdle
		}
		stated := time.Duration(seconds) * time.Second
		return max(stated-idleMargin, stated/2)
	}
	return defaultIdle
}

// isUsable reports whether the connection may take another request.
func (n *conn) isUsable(now time.Time) bool {
	select {
	case <-n.broken:
		return false
	default:
		return now.Before(n.expires)
	}
}
