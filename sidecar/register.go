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

// addRows adds the daemons of the rows to the table of members and probes at once if one is new. It reports whether the
// row of this daemon is among them, and how many of others are.
func (s *Sidecar) addRows(rows []discovery.Row) (hasOwn bool, others int) {
	for _, r := range rows {
		if _, err := netip.ParseAddrPort(r.Key); err != nil {
			s.Logger.Warn("daemon: key of a store row is not an address", "key", r.Key, "error", err)
			continue
		}
		dataCentre := registeredDataCentre(r.Value)
		if r.Key == s.Settings.Daemons {
			hasOwn = dataCentre == s.Settings.DataCentre
			continue
		}
		others++
		if s.members.Add(r.Key, dataCentre) {
			s.Logger.Info("daemon: found another daemon", "address", r.Key)
			s.prober.ProbeAll()
		}
	}
	return hasOwn, others
}

// register finds the other daemons in the store and makes this one known to those that start later. Rows are never
// removed, so a daemon that starts again at its address finds its row there.
//
// A daemon that finds no others reads the rows again after it has written its own: of two that start together, whichever
// reads last then finds both rows. Others find the daemon by its probes.
func (s *Sidecar) register(ctx context.Context) {
	hasOwn, others := false, 0
	if !s.Settings.IsFirstStart {
		hasOwn, others = s.listRows(ctx)
	}
	if hasOwn {
		return
	}
	value, err := json.Marshal(registration{DataCentre: s.Settings.DataCentre})
	if err != nil {
		s.Logger.Error("daemon: registration could not be encoded", "error", err)
		return
	}
	s.retryStoreCall(ctx, "write the own row", func(ctx context.Context) error {
		return s.Platform.Store.Put(ctx, membersTable, s.Settings.Daemons, value)
	})
	if others == 0 {
		s.listRows(ctx)
	}
}

// listRows reads the rows of all daemons and adds them; see addRows for the results.
func (s *Sidecar) listRows(ctx context.Context) (hasOwn bool, others int) {
	s.retryStoreCall(ctx, "read the rows of the daemons", func(ctx context.Context) error {
		page, err := s.Platform.Store.List(ctx, membersTable)
		if err == nil {
			hasOwn, others = s.addRows(page.Rows)
		}
		return err
	})
	return hasOwn, others
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
