package ingress

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// write sends the answers in the order of their requests.
func (n *conn) write() {
	w := n.server.Pacer.Writer(n.Conn)
	isBroken := false
	for x := range n.queue {
		response := <-x.response
		if isBroken {
			continue
		}
		isLast := x.isLast || n.server.isStopping.Load() && n.stopAfter()
		if response.IsAborted || n.send(w, x, response, isLast) != nil {
			isBroken = true
			n.abort()
			continue
		}
	}
}

// stopAfter reports whether the present answer is the last of a connection that is to be closed.
//
// A request that crosses that answer is not read.
func (n *conn) stopAfter() bool {
	n.stopReading()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.queue) > 0 || !n.isWaiting && !n.hasEnded {
		return false
	}
	n.isClosing = true
	return true
}

func (n *conn) abort() {
	n.cancel()
	// The connection is given up; how it ends does not matter.
	_ = n.Close()
}

// headerSpace is the usual size of the headers of an answer in bytes.
const headerSpace = 512

func (n *conn) send(w io.Writer, x *exchange, response *Response, isLast bool) error {
	if err := n.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	var method string
	if x.request != nil {
		method = x.request.Method
	}
	out := http.Response{
		StatusCode: response.Status, ProtoMajor: 1, ProtoMinor: 1, Header: response.Header,
		Request: &http.Request{Method: method}, ContentLength: int64(len(response.Body)),
		Body: io.NopCloser(bytes.NewReader(response.Body)), Close: isLast,
	}
	if method == http.MethodHead {
		out.ContentLength = -1
	}
	var b bytes.Buffer
	b.Grow(headerSpace + len(response.Body))
	if err := out.Write(&b); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}
