package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
)

// requestSource makes the requests of one client.
type requestSource struct {
	instance *instance
	random   *rand.Rand
	// number is the number of the last request; with name it makes the request ID.
	number int
	name   string
	// identify returns the identity of the next request; nil stands for none.
	identify func(r *rand.Rand) identity
	// meanPause is the mean time between two requests.
	meanPause time.Duration
}

// client sends requests to the daemon of one instance over keep-alive connections and reports each outcome to the
// checker.
type client struct {
	requestSource
	checker *Checker
	http    *http.Client
}

func newClient(i *instance, c *Checker, name string, seed uint64) *client {
	t := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 4 * time.Second}
	return &client{
		requestSource: requestSource{instance: i, name: name, random: rand.New(rand.NewPCG(seed, 7)), meanPause: clientPause},
		checker:       c, http: &http.Client{Transport: t, Timeout: clientTimeout + time.Second},
	}
}

// startClients starts at each daemon clientsPerInstance clients without an organisation, one for each kind of identity and
// one for each kind of connection use.
func (s *Soak) startClients(ctx context.Context, group *conc.WaitGroup) {
	for n, i := range s.instances {
		for k, identify := range append(make([]func(*rand.Rand) identity, clientsPerInstance), s.identifyMember, identifyUsual, identifyFlood) {
			c := newClient(i, s.checker, fmt.Sprintf("%s-%d", i.name, k), s.Seed+uint64(n*clientsPerInstance+k))
			c.identify = identify
			c.meanPause = s.meanPause()
			group.Go(func() { c.run(ctx) })
		}
		for k, use := range connectionUses {
			c := newConnectionClient(i, s.checker, use, rand.New(rand.NewPCG(s.Seed, uint64(n*len(connectionUses)+k))))
			c.meanPause = s.meanPause()
			group.Go(func() { c.run(ctx) })
		}
	}
}

// meanPause returns the mean time between two requests of a client. The total rate of requests does not grow beyond that
// of instancesAtFullRate instances, since they all share one machine.
func (s *Soak) meanPause() time.Duration {
	return clientPause * time.Duration(max(s.Instances, instancesAtFullRate)) / instancesAtFullRate
}

// run sends one request after the other until the context ends, with a random pause after each.
func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.send()
		c.pause(ctx, 2*c.meanPause)
	}
}

// pause waits for a random time shorter than longest, or until the context ends.
func (q *requestSource) pause(ctx context.Context, longest time.Duration) {
	t := time.NewTimer(time.Duration(q.random.Int64N(int64(longest))))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// next returns the next request, a repeatable read or an unrepeatable write.
func (q *requestSource) next(isRepeatable bool) sentRequest {
	q.number++
	s := sentRequest{id: fmt.Sprintf("%s-%d", q.name, q.number), service: q.instance.service, method: http.MethodGet, isRepeatable: isRepeatable}
	s.target = fmt.Sprintf("/read/%d", q.number)
	if !isRepeatable {
		s.method = http.MethodPost
		s.target = fmt.Sprintf("/write/%d", q.number)
		s.body = strings.Repeat("x", q.random.IntN(3000))
	}
	if q.identify != nil {
		s.identity = q.identify(q.random)
	}
	if s.isPrivate {
		s.target = privatePath + s.target
	}
	s.at = time.Now()
	return s
}

// nextOfEither returns the next request, which is repeatable with a probability of one half.
func (q *requestSource) nextOfEither() sentRequest { return q.next(q.random.IntN(2) != 0) }

// build returns a request in the form of net/http.
func (q *requestSource) build(s sentRequest) (*http.Request, error) {
	r, err := http.NewRequest(s.method, "http://"+q.instance.address(portClients)+s.target, strings.NewReader(s.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot resend the request on its own, so that each request leaves the client once.
	r.GetBody = nil
	r.Host = hostName
	r.Header.Set("Request-Id", s.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if s.claimedName != "" {
		r.Header.Set(headerOrganisation, s.claimedName)
	}
	if s.key != "" {
		r.Header.Set(headerKey, "Bearer "+s.key)
	}
	return r, nil
}

// send sends one request, half of them repeatable reads and half unrepeatable writes, and waits for its answer.
func (c *client) send() {
	s := c.nextOfEither()
	c.checker.recordSent(s)
	r, err := c.build(s)
	if err != nil {
		c.checker.recordNoAnswer(s.id)
		return
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.checker.recordNoAnswer(s.id)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.checker.recordNoAnswer(s.id)
		return
	}
	c.checker.checkAnswer(s.id, response.StatusCode, response.Header.Get("Server-Stamp"), string(body))
}
