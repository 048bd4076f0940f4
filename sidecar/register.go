package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

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

// checkAddress returns an error unless a daemon can be reached at an address.
func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return eris.Errorf("%s is not an address of one listener", address)
	}
	return nil
}

// addRows adds the daemons of the rows to the table of members and probes at once if one is new. It reports whether the
// row of this daemon is among them.
func (s *Sidecar) addRows(rows []discovery.Row) (hasOwn bool) {
	for _, r := range rows {
		if err := checkAddress(r.Key); err != nil {
			s.Logger.Warn("daemon: key of a store row is not the address of a daemon", "key", r.Key, "error", err)
			continue
		}
		dataCentre := registeredDataCentre(r.Value)
		if r.Key == s.Settings.Daemons {
			hasOwn = dataCentre == s.Settings.DataCentre
			continue
		}
		if s.members.Add(r.Key, dataCentre) {
			s.Logger.Info("daemon: found another daemon", "address", r.Key)
			s.prober.ProbeAll()
		}
	}
	return hasOwn
}

// stayRegistered registers this daemon, closes registered, and registers it again each time that the store comes back
// from an older copy, until the context ends.
func (s *Sidecar) stayRegistered(ctx context.Context, registered chan<- struct{}) {
	era := s.register(ctx)
	close(registered)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.storeEra.After(era):
		}
		pause(ctx, rand.N(registrationSpread))
		s.Logger.Info("daemon: registers again, the store came back from an older copy", "era", s.storeEra.Newest(), "registered-in-era", era)
		era = s.writeRow(ctx)
		if slices.Contains(s.relays(time.Now()), s.Settings.Daemons) {
			s.listRows(ctx)
		}
	}
}

// register finds the other daemons in the store and makes this one known to those that start later. It returns the era of
// the store in which the row of this daemon was there. Rows are never removed, so a daemon that starts again at its
// address finds its row there.
//
// The rows are read after the own one is written: of two daemons that start together, whichever reads last then finds
// both rows. Others find the daemon by its probes.
func (s *Sidecar) register(ctx context.Context) (era uint64) {
	if !s.Settings.IsFirstStart {
		hasOwn, era := s.listRows(ctx)
		if hasOwn {
			return era
		}
	}
	era = s.writeRow(ctx)
	s.listRows(ctx)
	return era
}

// writeRow writes the row of this daemon and returns the era of the store in which it was written.
func (s *Sidecar) writeRow(ctx context.Context) (era uint64) {
	value, err := json.Marshal(registration{DataCentre: s.Settings.DataCentre})
	if err != nil {
		s.Logger.Error("daemon: registration could not be encoded", "error", err)
		return s.storeEra.Newest()
	}
	s.retryStoreCall(ctx, "write the own row", func(ctx context.Context) error {
		era, err = s.Platform.Store.Put(ctx, membersTable, s.Settings.Daemons, value)
		return err
	})
	s.storeEra.Record(era)
	return era
}

// listRows reads the rows of all daemons and adds them. It reports whether the row of this daemon is among them, and the
// era of the store.
func (s *Sidecar) listRows(ctx context.Context) (hasOwn bool, era uint64) {
	s.retryStoreCall(ctx, "read the rows of the daemons", func(ctx context.Context) error {
		page, err := s.Platform.Store.List(ctx, membersTable)
		if err == nil {
			s.logOddRows(membersTable, page)
			hasOwn, era = s.addRows(page.Rows), page.Era
		}
		return err
	})
	s.storeEra.Record(era)
	return hasOwn, era
}

// logOddRows logs the rows of a page that can't be read.
func (s *Sidecar) logOddRows(table string, p discovery.Page) {
	for _, odd := range p.Odd {
		s.Logger.Warn("daemon: row left out", "table", table, "error", odd)
	}
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
		pause(ctx, storeRetryPause/2+rand.N(storeRetryPause))
	}
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

const (
	// storeTimeout bounds one attempt to write the own row or to read all rows.
	storeTimeout = 2 * time.Second
	// storeRetryPause is the mean pause between two attempts; it is spread from half to one and a half of this value.
	storeRetryPause = 500 * time.Millisecond
	// registrationSpread is the longest delay before the own row is written again, which spreads the writes of all daemons.
	registrationSpread = time.Second
)
