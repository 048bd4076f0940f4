package application

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// heartbeatTimeout is the longest time that one heartbeat waits for its acknowledgement.
const heartbeatTimeout = time.Second

// announcement is the body of a heartbeat on the wire.
type announcement struct {
	Address string `json:"address"`
	// Born is the time of start in milliseconds since 1970.
	Born   int64  `json:"born"`
	Info   info   `json:"info"`
	Status status `json:"status"`
}

// info is the part of an announcement that stays the same while the server runs.
type info struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

// status is the part of an announcement that changes.
type status struct {
	// State is "ready" or "draining".
	State string `json:"state"`
	// Sequence is the number of the heartbeat since the start, from 1.
	Sequence uint64 `json:"sequence"`
	// ColdRemainingS is the rest of the cold start in seconds; the stand-in has none.
	ColdRemainingS float64 `json:"coldRemainingS"`
}

// Born returns the time at which Start was called, in milliseconds since 1970.
func (s *Server) Born() int64 { return s.born }

// sendHeartbeats sends a heartbeat as ready, and again after each Server.Heartbeat until the context ends.
func (s *Server) sendHeartbeats(ctx context.Context) {
	defer close(s.heartbeatsDone)
	for ctx.Err() == nil {
		// The error is ignored: each heartbeat holds the whole state, so the next one makes up for a lost one.
		_ = s.sendHeartbeat(ctx, "ready")
		t := time.NewTimer(s.Heartbeat)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// Drain stops the heartbeats and announces to the daemon that the server is draining, repeatedly until the daemon
// acknowledges. It returns the time of the acknowledgement, or the error of the context. The server still runs
// requests.
func (s *Server) Drain(ctx context.Context) (time.Time, error) {
	s.stopHeartbeats()
	<-s.heartbeatsDone
	for ctx.Err() == nil {
		if s.sendHeartbeat(ctx, "draining") == nil {
			return time.Now(), nil
		}
		time.Sleep(s.Heartbeat / 4)
	}
	return time.Time{}, ctx.Err()
}

// Leave stops the heartbeats and tells the daemon that the server is gone, without a drain before. It returns the time of
// the acknowledgement, or an error. The server still runs requests.
func (s *Server) Leave(ctx context.Context) (time.Time, error) {
	s.stopHeartbeats()
	<-s.heartbeatsDone
	if err := s.call(ctx, "instances.deregister", nil); err != nil {
		return time.Time{}, err
	}
	return time.Now(), nil
}

// HoldHeartbeat returns the function that sends a heartbeat of this moment, as ready, when it is called, as one that is late.
func (s *Server) HoldHeartbeat() (send func(ctx context.Context) error, err error) {
	content, err := s.nextHeartbeat("ready")
	return func(ctx context.Context) error { return s.call(ctx, "instances.heartbeat", content) }, err
}

// sendHeartbeat sends one heartbeat with a state; an error means that the daemon may not have received it.
func (s *Server) sendHeartbeat(ctx context.Context, state string) error {
	content, err := s.nextHeartbeat(state)
	if err != nil {
		return err
	}
	return s.call(ctx, "instances.heartbeat", content)
}

// nextHeartbeat returns the body of the next heartbeat.
func (s *Server) nextHeartbeat(state string) ([]byte, error) {
	s.mu.Lock()
	s.sequence++
	a := announcement{
		Address: s.Address, Born: s.born,
		Info:   info{Service: s.Service, Version: cmp.Or(s.Version, "v1"), Zone: s.DataCentre, Slots: s.Slots},
		Status: status{State: state, Sequence: s.sequence},
	}
	s.mu.Unlock()
	if s.AdvertisedAddress != "" {
		a.Address = s.AdvertisedAddress
	}
	content, err := json.Marshal(a)
	return content, eris.Wrap(err, "encode the heartbeat")
}

// call makes one call of the daemon; an error means that the daemon may not have received it.
func (s *Server) call(ctx context.Context, name string, body []byte) error {
	timed, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(timed, http.MethodPost, "http://"+s.DaemonAddress+"/rpc?call="+name+"&of="+s.ID, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build the call")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "send the call")
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return eris.Errorf("the daemon answered %s with %s", name, response.Status)
	}
	return nil
}
