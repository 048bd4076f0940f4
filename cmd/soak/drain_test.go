package soak_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"siskinspar.example/cmd/soak"
)

const (
	// lossSlack is lossSlackS of the deployments: a request that was sent later before the end of its connection may cross
	// the close.
	lossSlack = 200 * time.Millisecond
	// frozenTime is how long requests lie unread at a daemon that is stopped, longer than lossSlack.
	frozenTime = 300 * time.Millisecond
	// graceTime is how long a daemon may take to exit after SIGTERM, bounds.graceS of its settings.
	graceTime = 6 * time.Second
	// noticeTime is the time from the start of the drain to the close of the listener.
	noticeTime = 2200 * time.Millisecond
	// burst is the number of connections of a kind on which a request is sent at once.
	burst = 20
	// lateCount is the number of connections of which each sends one request, one after the other every latePeriod.
	lateCount  = 100
	latePeriod = 30 * time.Millisecond
	// steadyCount is the number of clients that send one request after the other for as long as they can connect.
	steadyCount = 6
)

// drainClients are the connections of clients to the daemon that drains, and the outcomes of their requests.
type drainClients struct {
	t    *testing.T
	soak *soak.Soak
	// daemon is the index of the daemon that drains.
	daemon int
	group  conc.WaitGroup
	// atClose are the connections on which a request is sent when the listener has to close, if the case does so.
	atClose []*drainConn

	mu     sync.Mutex
	sent   int
	counts map[string]int
	lost   []string
}

// drainConn is a connection of a client, which has one request at a time; id and sentAt are those of the last one.
type drainConn struct {
	net.Conn
	reader  *bufio.Reader
	clients *drainClients
	// kind says in the result what the requests stand for.
	kind, id string
	sentAt   time.Time
}

func (c *drainClients) dial(kind string) (*drainConn, error) {
	conn, err := net.Dial("tcp", c.soak.ClientAddress(c.daemon))
	if err != nil {
		return nil, err
	}
	return &drainConn{Conn: conn, reader: bufio.NewReader(conn), clients: c, kind: kind}, nil
}

// open opens connections, of which the first ones, used in number, have had a request and its answer.
func (c *drainClients) open(kind string, count, used int) []*drainConn {
	c.t.Helper()
	conns := make([]*drainConn, count)
	for n := range conns {
		var err error
		conns[n], err = c.dial(kind)
		assert.NilError(c.t, err)
		assert.Assert(c.t, n >= used || conns[n].send() && conns[n].receive())
	}
	return conns
}

// send sends a whole request, each second one not idempotent, and reports whether the connection took it.
func (n *drainConn) send() bool {
	c := n.clients
	c.mu.Lock()
	c.sent++
	number := c.sent
	c.mu.Unlock()
	method, target := http.MethodGet, fmt.Sprintf("/read/%d", number)
	if number%2 == 0 {
		method, target = http.MethodPost, fmt.Sprintf("/write/%d", number)
	}
	n.id = fmt.Sprintf("%s-%d", n.kind, number)
	c.soak.RecordSent(c.daemon, n.id, method, target)
	n.sentAt = time.Now()
	_, err := fmt.Fprintf(n, "%s %s HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", method, target, n.id)
	if err != nil {
		c.recordCut(n, err)
	}
	return err == nil
}

// receive reads the answer to the last request and records the outcome. It reports whether the connection stays open.
func (n *drainConn) receive() bool {
	c := n.clients
	assert.Check(c.t, n.SetReadDeadline(time.Now().Add(2*graceTime)))
	response, err := http.ReadResponse(n.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	if err != nil {
		c.recordCut(n, err)
		return false
	}
	c.soak.CheckAnswer(n.id, response.StatusCode, response.Header.Get("Server-Stamp"), string(body))
	c.count(n.kind, response.Status)
	return !response.Close
}

// recordCut records a request whose connection ended without an answer. It is lost unless it crossed the close.
func (c *drainClients) recordCut(n *drainConn, err error) {
	waited := time.Since(n.sentAt)
	runs := c.soak.Executions(n.id)
	if waited < lossSlack && runs == 0 {
		c.count(n.kind, "crossed the close")
		return
	}
	c.count(n.kind, "lost")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = append(c.lost, fmt.Sprintf("%s after %v, %d runs: %v", n.id, waited.Round(time.Millisecond), runs, err))
}

func (c *drainClients) count(kind, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind+": "+outcome]++
}

// sendLate sends one request after a delay, unless the connection ends before.
func (n *drainConn) sendLate(delay time.Duration) {
	assert.Check(n.clients.t, n.SetReadDeadline(time.Now().Add(delay)))
	if _, err := n.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		n.clients.count(n.kind, "closed before a request")
		return
	}
	if n.send() {
		n.receive()
	}
}

// sendSteadily sends one request after the other until the daemon refuses connections.
func (c *drainClients) sendSteadily() {
	for {
		n, err := c.dial("steady")
		if err != nil {
			return
		}
		for n.send() && n.receive() {
			time.Sleep(10 * time.Millisecond)
		}
		_ = n.Close()
	}
}

// freeze stops the daemon, opens connections that it can't accept, sends a request on each connection, calls strike and
// lets the daemon run again.
func (c *drainClients) freeze(conns []*drainConn, strike func()) {
	c.soak.Freeze(c.daemon)
	time.Sleep(frozenTime / 10)
	for range burst {
		if n, err := c.dial("queued"); err == nil {
			conns = append(conns, n)
		}
	}
	for _, n := range conns {
		if n.send() {
			c.group.Go(func() { n.receive() })
		}
	}
	time.Sleep(frozenTime)
	strike()
	c.soak.Signal(c.daemon, syscall.SIGCONT)
}

func (c *drainClients) terminate() { c.soak.Signal(c.daemon, syscall.SIGTERM) }

func (c *drainClients) reload() { assert.Check(c.t, c.soak.Hangup(c.daemon)) }

// freezeAtClose stops the daemon again when it has to close its listener.
func (c *drainClients) freezeAtClose() {
	time.Sleep(noticeTime - frozenTime/2)
	c.freeze(c.atClose, func() {})
}

// throttle gives the daemon a fifth of the time on its processors until it has ended.
func (c *drainClients) throttle() {
	const period = 100 * time.Millisecond
	for {
		c.soak.Freeze(c.daemon)
		time.Sleep(period * 4 / 5)
		c.soak.Signal(c.daemon, syscall.SIGCONT)
		select {
		case <-c.soak.Ended(c.daemon):
			return
		case <-time.After(period / 5):
		}
	}
}

// repeatDuringNotice calls strike twice while the listener is open.
func repeatDuringNotice(strike func()) {
	for range 2 {
		time.Sleep(noticeTime / 3)
		strike()
	}
}

// It guards against requests that a daemon without processor time had not read when it learned of its end, and that ended
// with their connection.
func TestRequestsToADaemonThatDrainsGetAnAnswer(t *testing.T) {
	binary := buildBinary(t)
	for _, c := range []struct {
		name string
		// atStart sends signals while the daemon is stopped, during strikes once it drains.
		atStart, during func(c *drainClients)
	}{
		{name: "terminated"},
		{name: "terminated again", during: func(c *drainClients) { repeatDuringNotice(c.terminate) }},
		{name: "terminated during reloads", atStart: (*drainClients).reload, during: func(c *drainClients) { repeatDuringNotice(c.reload) }},
		{name: "frozen at the close", during: (*drainClients).freezeAtClose},
		{name: "throttled", during: (*drainClients).throttle},
	} {
		// The second daemon uses one processor only.
		for daemon := range 2 {
			t.Run(fmt.Sprintf("%s, daemon %d", c.name, daemon), func(t *testing.T) {
				t.Parallel()
				s := &soak.Soak{Seed: 1, Instances: 2, Binary: binary, Directory: t.TempDir(), Out: t.Output()}
				defer s.Stop()
				assert.NilError(t, s.Start())
				clients := &drainClients{t: t, soak: s, daemon: daemon, counts: map[string]int{}}
				conns := append(clients.open("used", burst, burst), clients.open("unused", burst, 0)...)
				late := clients.open("late", lateCount, lateCount/2)
				clients.atClose = clients.open("at the close", burst, burst/2)
				clients.freeze(conns, func() {
					if c.atStart != nil {
						c.atStart(clients)
					}
					clients.terminate()
				})
				began := time.Now()
				for range steadyCount {
					clients.group.Go(clients.sendSteadily)
				}
				for k, n := range late {
					clients.group.Go(func() { n.sendLate(time.Duration(k) * latePeriod) })
				}
				if c.during != nil {
					c.during(clients)
				}
				select {
				case <-s.Ended(daemon):
					assert.Check(t, cmp.Equal(s.ExitCode(daemon), 0))
				case <-time.After(time.Until(began.Add(graceTime))):
					t.Error("the daemon outlives its grace time")
				}
				clients.group.Wait()
				t.Log(clients.counts)
				assert.Check(t, len(clients.lost) == 0, "%d of %d requests lost, the first: %v", len(clients.lost), clients.sent, clients.lost[:min(3, len(clients.lost))])
				assert.Check(t, cmp.Len(s.Violations(), 0))
			})
		}
	}
}
