package application

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// callTimeout bounds one announcement.
const callTimeout = time.Second

type announcement struct {
	Address string `json:"address"`
	Born    int64  `json:"born"`
	Info    info   `json:"info"`
	Status  status `json:"status"`
}

type info struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type status struct {
	State          string  `json:"state"`
	Sequence       uint64  `json:"sequence"`
	ColdRemainingS float64 `json:"coldRemainingS"`
}

// Born returns the start of the server in milliseconds since 1970.
func (s *Server) Born() int64 { return s.born }

func (s *Server) announce(ctx context.Context) {
	defer close(s.done)
	for ctx.Err() == nil {
		// A missed announcement is made up for by the next one.
		_ = s.beat(ctx, "ready")
		t := time.NewTimer(s.Heartbeat)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// Drain tells the daemon that the server leaves, until it acknowledges, and returns the time of the acknowledgement.
func (s *Server) Drain(ctx context.Context) (time.Time, error) {
	s.stop()
	<-s.done
	for ctx.Err() == nil {
		if s.beat(ctx, "draining") == nil {
			return time.Now(), nil
		}
		time.Sleep(s.Heartbeat / 4)
	}
	return time.Time{}, ctx.Err()
}

func (s *Server) beat(ctx context.Context, state string) error {
	s.mu.Lock()
	s.sequence++
	a := announcement{
		Address: s.Address, Born: s.born,
		Info:   info{Service: s.Service, Version: "v1", Zone: s.DataCentre, Slots: s.Slots},
		Status: status{State: state, Sequence: s.sequence},
	}
	s.mu.Unlock()
	if s.Announced != "" {
		a.Address = s.Announced
	}
	content, err := json.Marshal(a)
	if err != nil {
		return eris.Wrap(err, "encode the announcement")
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(limited, http.MethodPost, "http://"+s.Control+"/rpc?call=instances.heartbeat&of="+s.ID, bytes.NewReader(content))
	if err != nil {
		return eris.Wrap(err, "build the announcement")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "send the announcement")
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return eris.Errorf("the daemon answered %s", response.Status)
	}
	return nil
}
