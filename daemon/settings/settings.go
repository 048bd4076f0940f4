package settings

import (
	"fmt"
	"log/slog"
	"time"

	"siskinspar.example/declaration"
)

// Settings are all settings of one daemon.
type Settings struct {
	Instance  Instance
	Callers   Callers
	Peers     Peers
	Operators Operators
	Platform  Platform
	Control   Control
	Drain     Drain
	Log       Log
}

// Instance identifies the daemon.
type Instance struct {
	Name       string
	DataCentre string
	Labels     declaration.Labels
}

// Callers configures the listener for callers.
type Callers struct {
	Listen      string
	Connections int
	HeaderSize  int
	QueueLength int
}

// Peers configures the listener for other daemons and how they know each other.
type Peers struct {
	Listen      string
	Advertise   string
	Seeds       []string
	Key         string
	Certificate string
	PrivateKey  string
	Authority   string
	Connections int
}

// IsTLS reports whether peers identify themselves by certificates.
func (p Peers) IsTLS() bool { return p.Certificate != "" || p.PrivateKey != "" || p.Authority != "" }

// Operators configures the listener for operators and backend servers.
type Operators struct {
	Listen       string
	Advertise    string
	Token        string
	BackendToken string
	Connections  int
}

// Platform names the platform's store.
type Platform struct {
	// Address is the IP address and port of the store.
	Address string
	Timeout time.Duration
}

// Control configures the intervals of the control loops.
type Control struct {
	// ProbePeriod is the time from one probe of a member to the next.
	ProbePeriod time.Duration
	// Suspicion is the time from suspecting a member to removing it.
	Suspicion time.Duration
	// PollPeriod is the mean time between two reads of the head by a relay.
	PollPeriod time.Duration
}

// Drain configures how the daemon leaves.
type Drain struct {
	// Notice is how long other daemons are given to learn that this one leaves.
	Notice time.Duration
	// Limit is how long requests in flight may take to end.
	Limit time.Duration
}

// Log configures the log.
type Log struct{ Level string }

// SlogLevel returns the level of the log, info for an unknown name.
func (l Log) SlogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo
	}
	return level
}

// Fault is one defect of the settings.
type Fault struct {
	section string
	key     string
	reason  string
}

// NewFault returns a fault of a key in a section.
func NewFault(section, key, reason string) Fault {
	return Fault{section: section, key: key, reason: reason}
}

// String returns the fault as [section] key: reason.
func (f Fault) String() string {
	if f.key == "" {
		return fmt.Sprintf("[%s]: %s", f.section, f.reason)
	}
	return fmt.Sprintf("[%s] %s: %s", f.section, f.key, f.reason)
}
