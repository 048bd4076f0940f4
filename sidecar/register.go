package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"siskinspar.example/sidecar/discovery"
)

// membersTable is the table of the store in which daemons find each other.
const membersTable = "daemons"

// registration is the row of a daemon in the store.
type registration struct {
	DataCentre string `json:"dataCentre"`
}

func (s *Sidecar) addRows(rows []discovery.Row) {
	for _, r := range rows {
		if _, err := netip.ParseAddrPort(r.Key); err != nil {
			s.Logger.Warn("daemon: row without an address", "key", r.Key, "error", err)
			continue
		}
		if r.Key == s.Settings.Daemons || r.IsRemoved {
			continue
		}
		if s.members.Add(r.Key) {
			s.Logger.Info("daemon: found another daemon", "address", r.Key)
			s.prober.Announce()
		}
	}
}

// register writes the own row and then reads those of the others.
//
// In this order two daemons that start together can't miss each other: the one that reads last finds both rows.
func (s *Sidecar) register(ctx context.Context) {
	value, err := json.Marshal(registration{DataCentre: s.Settings.DataCentre})
	if err != nil {
		s.Logger.Error("daemon: registration could not be encoded", "error", err)
		return
	}
	s.persist(ctx, "write the own row", func(ctx context.Context) error {
		return s.Platform.Store.Put(ctx, membersTable, s.Settings.Daemons, value)
	})
	s.persist(ctx, "read the rows of the daemons", func(ctx context.Context) error {
		page, err := s.Platform.Store.List(ctx, membersTable)
		if err == nil {
			s.addRows(page.Rows)
		}
		return err
	})
}

// persist repeats a call of the store until it succeeds.
func (s *Sidecar) persist(ctx context.Context, purpose string, call func(context.Context) error) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, registerTimeout)
		err := call(limited)
		cancel()
		if err == nil {
			return
		}
		s.Logger.Warn("daemon: store call failed", "purpose", purpose, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(registerPause/2 + rand.N(registerPause)):
		}
	}
}

const (
	// registerTimeout bounds one attempt to write the own row.
	registerTimeout = 2 * time.Second
	// registerPause is the mean pause between two attempts.
	registerPause = 500 * time.Millisecond
)
