package ingress_test

import (
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/ingress"
	"siskinspar.example/standin/loopback"
)

// A process with little processor time may send an answer before the reader of its connection waits for the next request.
// The answer has to tell of the close all the same: a client that is not told meets a reset when the server stops.
func TestAnAnswerDuringTheDrainTellsOfTheCloseBeforeTheReaderWaits(t *testing.T) {
	h := &handler{release: make(chan struct{}), started: make(chan string, 64), disconnected: make(chan struct{}), refused: make(chan int, 64)}
	s := &ingress.Server{
		Address: loopback.Address(), Handler: h, Logger: slog.New(slog.DiscardHandler),
		Limits: func() ingress.Limits {
			// The reader gets no processor time before it waits for a request.
			time.Sleep(20 * time.Millisecond)
			return ingress.Limits{HeaderBytes: 2000, BodyBytes: 100, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
		},
	}
	assert.NilError(t, s.Run())
	t.Cleanup(func() { s.Stop(time.Second) })
	s.Drain()
	c, r := dial(t, s.Address)
	_, err := io.WriteString(c, get("/"))
	assert.NilError(t, err)
	response, _ := read(t, r)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, response.Close)
}
