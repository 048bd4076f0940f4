package sidecar_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadSize is the size of the body of an upload in bytes.
const uploadSize = 200_000

// configureUploads writes a configuration whose route takes uploads.
func (d *deployment) configureUploads(service string) {
	content := strings.Replace(fmt.Sprintf(document, 1, service), `"kind":"safe"`, `"kind":"upload"`, 1)
	d.store.PutAsOperator("op", "config", []byte(content))
}

// upload sends a body to an instance and returns the ID of the request with the status, or 0 if there is no response.
func (d *deployment) upload(i *instance, timeout time.Duration) (string, int) {
	id := fmt.Sprint(number.Add(1))
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/r/%s", i.settings.Clients, id), bytes.NewReader(make([]byte, uploadSize)))
	assert.Check(d.t, err)
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return id, 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return id, 0
	}
	return id, response.StatusCode
}

// runs returns how often each request has run, by its ID, and checks that each body came whole.
func (d *deployment) runs() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[string]int{}
	for _, e := range d.executions {
		counts[e.ID]++
		if e.Method == http.MethodPost {
			assert.Equal(d.t, len(e.Body), uploadSize)
		}
	}
	return counts
}

// awaitUpload repeats uploads to an instance until one succeeds, and fails after 20 seconds.
func (d *deployment) awaitUpload(i *instance) {
	d.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if _, status := d.upload(i, time.Second); status == http.StatusOK {
			return
		}
	}
	d.t.Fatal("no upload was answered within 20 s")
}

func TestAnUploadWhoseClientStopsHalfwayDoesNotRun(t *testing.T) {
	d := newDeployment(t)
	d.configureUploads("hub")
	desk := d.add("desk")
	d.add("hub")
	d.awaitUpload(desk)
	c, err := net.Dial("tcp", desk.settings.Clients)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(c, "POST /r/half HTTP/1.1\r\nHost: a.example\r\nRequest-Id: half\r\nContent-Length: %d\r\n\r\n%s", uploadSize, make([]byte, uploadSize/2))
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	d.awaitUpload(desk)
	assert.Equal(t, d.runs()["half"], 0)
}

// Uploads must run at most once, those refused with 503 not at all, and those that succeed once, while the daemon at
// which they enter or the one beside the backend server is stopped and started again.
func TestUploadsRunAtMostOnceWhileDaemonsAreStopped(t *testing.T) {
	for name, pick := range map[string]func(entry, owner *instance) *instance{
		"entry": func(entry, _ *instance) *instance { return entry },
		"owner": func(_, owner *instance) *instance { return owner },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configureUploads("hub")
			desk, hub, second := d.add("desk"), d.add("hub"), d.add("hub")
			hub.server.ProcessingTime, second.server.ProcessingTime = 50*time.Millisecond, 50*time.Millisecond
			d.awaitUpload(desk)
			stop := make(chan struct{})
			var mu sync.Mutex
			statuses := map[string]int{}
			var group sync.WaitGroup
			for range 4 {
				group.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						id, status := d.upload(desk, 2*time.Second)
						mu.Lock()
						statuses[id] = status
						mu.Unlock()
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			stopped := pick(desk, hub)
			time.Sleep(200 * time.Millisecond)
			stopped.stop()
			<-stopped.ended
			d.start(stopped)
			d.awaitUpload(desk)
			close(stop)
			group.Wait()
			runs := d.runs()
			for id, status := range statuses {
				switch status {
				case http.StatusOK:
					assert.Equal(t, runs[id], 1, "request %s was answered", id)
				case http.StatusServiceUnavailable:
					assert.Equal(t, runs[id], 0, "request %s was refused", id)
				case 0:
					assert.Assert(t, runs[id] == 0, "request %s was cut off: planned stops cut nothing that runs", id)
				default:
					t.Errorf("request %s got %d", id, status)
				}
			}
		})
	}
}

// A server that never answers keeps its request until the deadline, since its silence proves nothing; the outcome is then
// unknown, and its slot is free for others.
func TestAServerThatHangsCostsNoSlotAfterTheDeadline(t *testing.T) {
	d := newDeployment(t)
	d.configureUploads("hub")
	desk, hub := d.add("desk"), d.add("hub")
	d.awaitUpload(desk)
	// The server stops work at the deadline, as all do; it counts from its own clock.
	hub.server.ProcessingTime = time.Hour
	hub.server.IgnoresDeadline = true
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			began := time.Now()
			_, status := d.upload(desk, 300*time.Millisecond)
			assert.Check(t, status == http.StatusGatewayTimeout || status == http.StatusServiceUnavailable, "status %d", status)
			assert.Check(t, time.Since(began) < 10*time.Second, "the answer came after %v", time.Since(began))
		})
	}
	group.Wait()
	hub.server.ProcessingTime = time.Millisecond
	d.awaitUpload(desk)
	for id, count := range d.runs() {
		assert.Equal(t, count, 1, "request %s", id)
	}
}
