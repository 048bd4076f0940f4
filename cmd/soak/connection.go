package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// connectTimeout is how long a client waits for a connection.
	connectTimeout = time.Second
	// longestDelay is the longest time from the opening of a connection until its first request.
	longestDelay = 400 * time.Millisecond
	// longestPipeline is the largest number of requests that a client sends at once.
	longestPipeline = 3
)

// connectionUse says how a connectionClient uses its connections.
type connectionUse struct {
	name string
	// isFresh is true if each request gets a connection of its own.
	isFresh bool
	// isEarly is true if the first request follows up to longestDelay after the connection was opened.
	isEarly bool
	// isPipelined is true if up to longestPipeline repeatable requests are sent at once.
	isPipelined bool
}

// connectionUses lists the connectionClients of each instance.
var connectionUses = []connectionUse{
	{name: "kept"},
	{name: "kept-too"},
	{name: "fresh", isFresh: true},
	{name: "early", isFresh: true, isEarly: true},
	{name: "early-kept", isEarly: true},
	{name: "pipelined", isPipelined: true},
}

// connectionClient sends requests to the daemon of one instance over TCP connections of its own. It goes on using a
// connection until the daemon has closed it or an answer has said that it will, unlike net/http, which looks for a close
// before it uses a connection again.
type connectionClient struct {
	requestSource
	connectionUse
	checker *Checker
}

func newConnectionClient(i *instance, c *Checker, use connectionUse, random *rand.Rand) *connectionClient {
	q := requestSource{instance: i, name: fmt.Sprintf("%s-%s", i.name, use.name), random: random, meanPause: clientPause}
	return &connectionClient{requestSource: q, connectionUse: use, checker: c}
}

// run uses one connection after the other until the context ends. It pauses after each, also if it was refused.
func (c *connectionClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if connection, err := net.DialTimeout("tcp", c.instance.address(portClients), connectTimeout); err == nil {
			c.use(ctx, connection)
		}
		c.pause(ctx, 2*c.meanPause)
	}
}

// use sends requests on a connection until it can't be used any more, and closes it.
func (c *connectionClient) use(ctx context.Context, connection net.Conn) {
	// Closing ends the use of the connection, so its error does not matter.
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	if c.isEarly {
		c.pause(ctx, longestDelay)
	}
	for ctx.Err() == nil && c.exchange(connection, reader) && !c.isFresh {
		c.pause(ctx, 2*c.meanPause)
	}
}

// exchange sends one request, or several if isPipelined is set, waits for the answers and reports whether the connection
// can be used further.
func (c *connectionClient) exchange(connection net.Conn, reader *bufio.Reader) bool {
	requests, content, err := c.encode()
	if err != nil {
		return false
	}
	// If the deadline can't be set, the write fails.
	_ = connection.SetDeadline(time.Now().Add(clientTimeout + time.Second))
	_, err = connection.Write(content)
	written := time.Now()
	answered, isOpen := 0, true
	for err == nil && isOpen && answered < len(requests) {
		if isOpen, err = c.receive(reader, requests[answered]); err == nil {
			answered++
		}
	}
	for n, s := range requests[answered:] {
		c.checker.recordNoAnswer(s.id)
		// A client that has given up has not lost its request.
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.checker.recordLoss(loss{
				id: s.id, instance: c.instance.name, sent: s.at, written: written, ended: time.Now(), isBehind: answered+n > 0, cause: err,
			})
		}
	}
	return isOpen && err == nil
}

// nextBatch returns the requests that are sent at once. Only repeatable requests are pipelined.
func (c *connectionClient) nextBatch() []sentRequest {
	if !c.isPipelined {
		return []sentRequest{c.nextOfEither()}
	}
	requests := make([]sentRequest, 2+c.random.IntN(longestPipeline-1))
	for n := range requests {
		requests[n] = c.next(true)
	}
	return requests
}

// encode returns the next requests and their bytes on the wire.
func (c *connectionClient) encode() ([]sentRequest, []byte, error) {
	requests := c.nextBatch()
	var content bytes.Buffer
	for _, s := range requests {
		r, err := c.build(s)
		if err != nil {
			return nil, nil, err
		}
		c.checker.recordSent(s)
		if err := r.Write(&content); err != nil {
			return nil, nil, err
		}
	}
	return requests, content.Bytes(), nil
}

// receive reads the answer to a request and reports whether the connection stays open after it. It returns an error
// without a whole answer.
func (c *connectionClient) receive(reader *bufio.Reader, s sentRequest) (isOpen bool, err error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: s.method})
	if err != nil {
		return false, err
	}
	// The body is read whole, so the error of its end does not matter.
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false, err
	}
	status, stamp := response.StatusCode, response.Header.Get("Server-Stamp")
	c.checker.checkAnswer(s.id, status, stamp, string(body))
	if stamp == "" && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout) {
		c.checker.recordLoss(loss{id: s.id, instance: c.instance.name, sent: s.at, written: s.at, ended: time.Now(), status: status})
	}
	return !response.Close, nil
}
