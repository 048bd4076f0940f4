package settings

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/quota"
	"siskinspar.example/sidecar/rollout"
)

// DefaultConfigurationBound is the ConfigurationBound of a daemon whose settings name none.
const DefaultConfigurationBound = 2 * time.Second

// DefaultRollout returns the Rollout of a daemon whose settings name none of its bounds.
func DefaultRollout() rollout.Bounds {
	return rollout.Bounds{ExposeShare: 0.1, ExposeSlack: 50, RollbackTime: 5 * time.Second}
}

// Settings are all settings of one daemon.
type Settings struct {
	// Instance is the name of the instance for logs.
	Instance string
	// DataCentre is the name of the data centre of the instance. It is compared with those of other instances: backend
	// servers in the same data centre are preferred.
	DataCentre string
	// Service is the service of the backend server beside the daemon.
	Service string
	// Clients is the address for requests of clients and of the backend server.
	Clients string
	// Daemons is the address for calls of other daemons; its port is the same on all instances.
	Daemons string
	// Readiness is the address for readiness checks.
	Readiness string
	// Announcements is the address at which the backend server announces itself.
	Announcements string
	// Metrics is the address for metrics, or empty.
	Metrics string
	// Store is the address of the platform's store.
	Store string
	// IsFirstStart is true when the whole mesh starts for the first time, so that the store has no rows of daemons yet.
	IsFirstStart bool
	// Seeds are IP addresses of instances whose daemons may know further daemons.
	Seeds []netip.Addr
	// MemoryBytes is the memory that the process may use, or 0 for no limit.
	MemoryBytes int64
	// LinkBits is the capacity of the outgoing link of the instance in bits a second. With 0 the capacity is unknown:
	// writes are not paced, and no request waits for the link.
	LinkBits float64
	// Grace is how long the process may take to stop.
	Grace time.Duration
	// ConfigurationBound is the time within which a new configuration must be in force at all daemons.
	ConfigurationBound time.Duration
	// RetryAllowance bounds the extra attempts (retries and hedges) of requests for each service, over all daemons.
	RetryAllowance placement.RetryAllowance
	// QuotaTolerance is what the quota of an organisation may be exceeded by.
	QuotaTolerance quota.Tolerance
	// HasRollouts is true if the operator may order roll-outs. Without, requests use all versions of a service alike.
	HasRollouts bool
	// Rollout bounds the requests for a bad version while it is rolled out.
	Rollout rollout.Bounds
}

// DefaultQuotaTolerance is the QuotaTolerance of a daemon whose settings name none.
var DefaultQuotaTolerance = quota.Tolerance{Window: 5 * time.Second, Share: 0.1, Slack: 20}

// Check returns an error for each invalid setting.
func (s *Settings) Check() []error {
	var faults []error
	addresses := []struct{ name, value string }{
		{"clients", s.Clients}, {"daemons", s.Daemons}, {"readiness", s.Readiness},
		{"announcements", s.Announcements}, {"store", s.Store},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			faults = append(faults, eris.Errorf("%s: %q is not an IP address with a port", a.name, a.value))
		}
	}
	if s.DataCentre == "" {
		faults = append(faults, eris.New("data centre: missing"))
	}
	if s.Service == "" {
		faults = append(faults, eris.New("service: missing"))
	}
	if s.Grace <= 0 {
		faults = append(faults, eris.Errorf("grace: %v is not above 0", s.Grace))
	}
	if s.ConfigurationBound <= 0 {
		faults = append(faults, eris.Errorf("configuration bound: %v is not above 0", s.ConfigurationBound))
	}
	if s.LinkBits < 0 {
		faults = append(faults, eris.Errorf("link: %v bits a second is below 0", s.LinkBits))
	}
	if s.RetryAllowance.Ratio < 0 || s.RetryAllowance.Slack < 0 || s.RetryAllowance.Window <= 0 {
		faults = append(faults, eris.Errorf("repeats: out of range: %+v", s.RetryAllowance))
	}
	if t := s.QuotaTolerance; t.Window < 0 || t.Share < 0 || t.Slack < 0 {
		faults = append(faults, eris.Errorf("quota tolerance: out of range: %+v", t))
	}
	if r := s.Rollout; r.ExposeShare < 0 || r.ExposeShare > 1 || r.ExposeSlack < 0 || r.RollbackTime < 0 {
		faults = append(faults, eris.Errorf("bounds of roll-outs: out of range: %+v", r))
	}
	return faults
}

// NeedsRestart returns the names of the settings that differ and can't change while the daemon runs.
func (s *Settings) NeedsRestart(next *Settings) []string {
	var names []string
	for _, c := range []struct{ name, now, next string }{
		{"instance", s.Instance, next.Instance}, {"data centre", s.DataCentre, next.DataCentre},
		{"service", s.Service, next.Service}, {"clients", s.Clients, next.Clients}, {"daemons", s.Daemons, next.Daemons},
		{"readiness", s.Readiness, next.Readiness}, {"announcements", s.Announcements, next.Announcements}, {"store", s.Store, next.Store},
	} {
		if c.now != c.next {
			names = append(names, c.name)
		}
	}
	return names
}
