package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"siskinspar.example/sidecar/discovery"
)

// membersTable is the table of the store in which each daemon registers its address for the others.
const membersTable = "daemons"

// registration is the value of a daemon's row in the store; the key of the row is the address of the daemon.
type registration struct {
	DataCentre string `json:"dataCentre"`
}

// registeredDataCentre returns the data centre in the row of a daemon, or an empty string if the row can't be read: its
// data centre is then learned from the daemon itself.
func registeredDataCentre(value []byte) string {
	var r registration
	if json.Unmarshal(value, &r) != nil {
		return ""
	}
	return r.DataCentre
}

// addRows adds the daemons of the rows to the table of members and probes at once if one is new.
func (s *Sidecar) addRows(rows []discovery.Row) {
	for _, r := range rows {
		if _, err := netip.ParseAddrPort(r.Key); err != nil {
			s.Logger.Warn("daemon: key of a store row is not an address", "key", r.Key, "error", err)
			continue
		}
		if r.Key == s.Settings.Daemons || r.IsRemoved {
			continue
		}
		if s.members.Add(r.Key, registeredDataCentre(r.Value)) {
			s.Logger.Info("daemon: found another daemon", "address", r.Key)
			s.prober.ProbeAll()
		}
	}
}

// register writes the daemon's own row to the store and then reads the rows of all daemons.
//
// In this order two daemons that start together can't miss each other: whichever reads last finds both rows.
func (s *Sidecar) register(ctx context.Context) {
	value, err := json.Marshal(registration{DataCentre: s.Settings.DataCentre})
	if err != nil {
		s.Logger.Error("daemon: registration could not be encoded", "error", err)
		return
	}
	s.retryStoreCall(ctx, "write the own row", func(ctx context.Context) error {
		return s.Platform.Store.Put(ctx, membersTable, s.Settings.Daemons, value)
	})
	s.retryStoreCall(ctx, "read the rows of the daemons", func(ctx context.Context) error {
		page, err := s.Platform.Store.List(ctx, membersTable)
		if err == nil {
			s.addRows(page.Rows)
		}
		return err
	})
}

// retryStoreCall repeats a call of the store until it succeeds or the context ends. Purpose is named in the log.
func (s *Sidecar) retryStoreCall(ctx context.Context, purpose string, call func(context.Context) error) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		err := call(limited)
		cancel()
		if err == nil {
			return
		}
		s.Logger.Warn("daemon: store call failed", "purpose", purpose, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(storeRetryPause/2 + rand.N(storeRetryPause)):
		}
	}
}

const (
	// storeTimeout bounds one attempt to write the own row or to read all rows.
	storeTimeout = 2 * time.Second
	// storeRetryPause is the mean pause between two attempts; it is spread from half to one and a half of this value.
	storeRetryPause = 500 * time.Millisecond
)
