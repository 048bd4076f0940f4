package sidecar_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestARequestIsServedFromAnyInstance(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	desk, hub := d.add("desk"), d.add("hub")
	d.await(desk, "server-0")
	d.await(hub, "server-0")
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, d.executions[0].Caller, "desk")
	assert.Equal(t, d.executions[len(d.executions)-1].Caller, "hub", "the caller is the service where the request entered")
}

func TestNoRequestFailsWhenAServerDrains(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	first := d.add("desk")
	d.add("desk")
	d.await(first, "server-0")
	// The first daemon knows the other backend server once it uses it under load.
	d.awaitUnderLoad(first, "server-1")
	_, err := first.server.Drain(t.Context())
	assert.NilError(t, err)
	d.servedOnlyBy(first, "server-1")
}

func TestADrainIsKeptWhenTheDaemonRestarts(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	first, second := d.add("desk"), d.add("desk")
	d.await(first, "server-0")
	d.await(second, "server-1", "server-0")
	_, err := first.server.Drain(t.Context())
	assert.NilError(t, err)
	d.await(second, "server-1")
	first.stop()
	<-first.ended
	d.start(first)
	d.await(first, "server-1")
	// An announcement that the backend server sent before its drain arrives late.
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":"desk","version":"v1","zone":"zone","slots":4},"status":{"state":"ready","sequence":1,"coldRemainingS":0}}`,
		first.server.Address, first.server.Born())
	response, err := http.Post("http://"+first.settings.Announcements+"/rpc?call=instances.heartbeat&of="+first.server.ID, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	response.Body.Close()
	d.servedOnlyBy(first, "server-1")
}

func TestAStoppedDaemonAnswersTheRequestsThatItHasRead(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	first, second := d.add("desk"), d.add("desk")
	d.await(first, "server-0", "server-1")
	d.await(second, "server-0", "server-1")
	first.stop()
	for {
		select {
		case <-first.ended:
			return
		default:
		}
		// Status 0 is that of a refused connection, after which a client uses another daemon.
		if status, _ := d.get(first); status != 0 {
			assert.Equal(t, status, http.StatusOK)
		}
		status, _ := d.get(second)
		assert.Equal(t, status, http.StatusOK)
	}
}

// When all daemons of a service are stopped at once, none is left that could take over the requests that were read.
func TestAStoppingDaemonIsUsedWhileItsServiceHasNoOther(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	desk, hub := d.add("desk"), d.add("hub")
	d.await(hub, "server-0")
	desk.stop()
	for range 20 {
		status, server := d.get(hub)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, server, "server-0")
	}
}

// BenchmarkTwoHops measures a request that enters at one daemon and runs beside another, all in one process.
func BenchmarkTwoHops(b *testing.B) {
	d := newDeployment(b)
	d.configure(1, "hub")
	desk := d.add("desk")
	hub := d.add("hub")
	hub.server.ProcessingTime = 0
	d.await(desk, "server-1")
	b.ReportAllocs()
	for b.Loop() {
		if status, _ := d.get(desk); status != http.StatusOK {
			b.Fatal(status)
		}
	}
}
