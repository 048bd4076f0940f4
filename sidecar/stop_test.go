package sidecar_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answered is the response to a request; its status is 0 if the connection was cut.
type answered struct {
	id     string
	status int
	at     time.Time
}

// stopAndCollect stops the daemon of an instance and returns the responses to a number of requests, all of which must
// come before the daemon has ended.
func stopAndCollect(t *testing.T, i *instance, responses <-chan answered, count int) []answered {
	t.Helper()
	i.stop()
	<-i.ended
	ended := time.Now()
	var all []answered
	for range count {
		select {
		case r := <-responses:
			assert.Assert(t, r.at.Before(ended), "request %s was answered with %d after the end of the daemon", r.id, r.status)
			all = append(all, r)
		case <-time.After(time.Second):
			t.Fatalf("%d of %d requests were answered before the daemon ended", len(all), count)
		}
	}
	return all
}

func TestRequestsThatWaitForASlotWhenTheGraceEndsAreRefusedInTime(t *testing.T) {
	d := newDeployment(t)
	d.configureUploads("hub")
	desk, hub := d.add("desk"), d.add("hub")
	d.awaitUpload(desk)
	hub.server.ProcessingTime = time.Hour
	const blocking, waiting = 5, 3
	for range blocking {
		go d.upload(hub, 5*time.Second)
	}
	time.Sleep(200 * time.Millisecond)
	responses := make(chan answered, waiting)
	for range waiting {
		go func() {
			id, status := d.upload(desk, 5*time.Second)
			responses <- answered{id: id, status: status, at: time.Now()}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	for _, r := range stopAndCollect(t, desk, responses, waiting) {
		assert.Equal(t, r.status, http.StatusServiceUnavailable, "request %s", r.id)
		assert.Equal(t, d.runs()[r.id], 0, "request %s was refused", r.id)
	}
}

func TestARequestThatComesTooLateInTheGraceIsRefusedAndNotPassedOn(t *testing.T) {
	d := newDeployment(t)
	d.configureUploads("hub")
	desk, hub := d.add("desk"), d.add("hub")
	hub.server.ProcessingTime = time.Second
	for range 10 {
		if _, status := d.upload(desk, 5*time.Second); status == http.StatusOK {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	responses := make(chan answered, 1)
	// The body is whole 1 s before the end of the grace, and a run takes 1 s.
	go d.uploadInParts(desk, "late", 500*time.Millisecond, desk.settings.Grace-time.Second, responses)
	r := stopAndCollect(t, desk, responses, 1)[0]
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, d.runs()["late"], 0)
}

// uploadInParts sends the first half of a body after a first wait and the second half after a second one, both counted
// from now, and then the response.
func (d *deployment) uploadInParts(i *instance, id string, first, second time.Duration, responses chan<- answered) {
	r := answered{id: id}
	defer func() { responses <- r }()
	began := time.Now()
	time.Sleep(first)
	c, err := net.Dial("tcp", i.settings.Clients)
	if err != nil {
		d.t.Error(err)
		return
	}
	defer c.Close()
	half := strings.Repeat("x", uploadSize/2)
	_, _ = fmt.Fprintf(c, "POST /r/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", id, id, len(half)*2, half)
	time.Sleep(time.Until(began.Add(second)))
	_, _ = fmt.Fprint(c, half)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	r.at = time.Now()
	if err != nil {
		return
	}
	defer response.Body.Close()
	r.status = response.StatusCode
}
