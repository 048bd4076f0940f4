package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// write sends the answers in the order of the requests. After an aborted answer or a failed write it only empties the
// queue.
func (n *conn) write() {
	w := n.server.Pacer.Writer(n.Conn)
	isBroken := false
	for x := range n.queue {
		response := n.await(x)
		n.server.Memory.Release(x.held)
		if isBroken {
			continue
		}
		isLast := x.isLast || n.server.isDraining.Load() && n.isLastAnswer()
		if err := n.answer(w, x, response, isLast); err != nil {
			isBroken = true
			n.logCut(err)
			n.abort()
			continue
		}
		n.isCloseTold = isLast
		n.recordAnswered()
	}
}

// recordAnswered records that an answer was sent; the wait for the next request may begin with it.
func (n *conn) recordAnswered() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unanswered--
	n.usedAt = time.Now()
	n.limitWait()
}

// errAborted means that the handler ends the connection instead of an answer.
var errAborted = errors.New("aborted by the handler")

// answer sends the answer to a request, or returns errAborted if there is none.
func (n *conn) answer(w io.Writer, x *exchange, response *Response, isLast bool) error {
	if response.IsAborted {
		return errAborted
	}
	return n.send(w, x, response, isLast)
}

// logCut logs that the connection ends without a whole answer, unless its client has disconnected.
func (n *conn) logCut(cause error) {
	if n.ctx.Err() == nil {
		n.server.Logger.Warn("ingress: connection closed without a whole answer", "client", n.RemoteAddr(), "error", cause, "age", time.Since(n.accepted), "draining", n.server.isDraining.Load())
	}
}

// await returns the answer to a request, once it is there or the server has ended.
func (n *conn) await(x *exchange) *Response {
	select {
	case response := <-x.response:
		return response
	case <-n.server.ended:
	}
	select {
	case response := <-x.response:
		return response
	default:
		return n.server.Handler.Abandon(x.request)
	}
}

// isLastAnswer reports whether the connection closes after the current answer because no other request was read or is being
// read; no request is read after it.
func (n *conn) isLastAnswer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isReading || n.unanswered > 1 {
		return false
	}
	n.isClosing = true
	n.limitWait()
	return true
}

// abort closes the connection at once and cancels the requests that are being served.
func (n *conn) abort() {
	n.cancel()
	// The connection is not used again, so a failure to close it does not matter.
	_ = n.Close()
}

// usualHeaderSize is the usual size of the headers of an answer in bytes.
const usualHeaderSize = 512

// send encodes an answer and sends it in one write; isLast tells the client that the connection closes.
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
		// The length of the body that is left out is not known.
		out.ContentLength = -1
		if !isLast {
			// Without an encoding, net/http would tell of a close.
			out.TransferEncoding = []string{"chunked"}
		}
	}
	var b bytes.Buffer
	b.Grow(usualHeaderSize + len(response.Body))
	if err := out.Write(&b); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}
