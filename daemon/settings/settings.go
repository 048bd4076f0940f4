package settings

import (
	"fmt"
	"log/slog"
	"time"

	"siskinspar.example/declaration"
)

// Settings holds all settings of one daemon, one field for each section of the file.
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

// Instance names the daemon and its data centre, and holds the labels that selectors match.
type Instance struct {
	Name       string
	DataCentre string
	Labels     declaration.Labels
}

// Callers configures the listener for callers.
type Callers struct {
	// Listen is the IP number and port to listen on.
	Listen string
	// Connections bounds the open connections.
	Connections int
	// HeaderSize bounds the headers of a request in bytes, at all listeners.
	HeaderSize int
	// QueueLength bounds the requests that wait for a slot of one backend server.
	QueueLength int
}

// Peers configures the listener for other daemons, and how daemons find and authenticate each other.
type Peers struct {
	// Listen is the IP number and port to listen on.
	Listen string
	// Advertise is the IP number and port that other daemons call; it is Listen by default.
	Advertise string
	// Seeds are the peer addresses of daemons through which this one joins.
	Seeds []string
	// Key is the key that all daemons share; it may be empty with certificates.
	Key string
	// Certificate, PrivateKey and Authority are paths of PEM files; Authority holds the certificates that sign those
	// of the peers.
	Certificate string
	PrivateKey  string
	Authority   string
	// Connections bounds the open connections.
	Connections int
}

// IsTLS reports whether daemons authenticate each other by certificates, which any of the three files asks for.
func (p Peers) IsTLS() bool { return p.Certificate != "" || p.PrivateKey != "" || p.Authority != "" }

// Operators configures the listener for operators and backend servers.
type Operators struct {
	// Listen is the IP number and port to listen on.
	Listen string
	// Advertise is the IP number and port that the status of each daemon lists for this one; it is Listen by
	// default.
	Advertise string
	// Token is the bearer token of the operators.
	Token string
	// BackendToken is the bearer token of the backend servers for announcements.
	BackendToken string
	// Connections bounds the open connections.
	Connections int
}

// Platform configures the calls to the platform's store.
type Platform struct {
	// Address is the IP number and port of the store.
	Address string
	// Timeout bounds an operation on the store.
	Timeout time.Duration
}

// Control configures the periods of the control loops.
type Control struct {
	// ProbePeriod is the time from one probe of a member to the next.
	ProbePeriod time.Duration
	// Suspicion is the time from suspecting a member to removing it.
	Suspicion time.Duration
	// PollPeriod is the mean time between two reads by a relay of the head, which is the newest version in the store.
	PollPeriod time.Duration
}

// Drain configures the shutdown of the daemon.
type Drain struct {
	// Notice is how long the daemon keeps serving after it has announced the drain, so that other daemons learn of it.
	Notice time.Duration
	// Limit is how long requests in flight may take to finish after that.
	Limit time.Duration
}

// Log configures the log; Level is a name of a slog.Level, such as info.
type Log struct{ Level string }

// SlogLevel returns the level of the log, or slog.LevelInfo for an unknown name.
func (l Log) SlogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo
	}
	return level
}

// Fault is one error in the settings with the section and key that it concerns.
type Fault struct {
	section string
	key     string
	reason  string
}

// NewFault returns a fault of a key in a section; the key is empty for a fault of the whole section.
func NewFault(section, key, reason string) Fault {
	return Fault{section: section, key: key, reason: reason}
}

// String returns the fault as "[section] key: reason".
func (f Fault) String() string {
	if f.key == "" {
		return fmt.Sprintf("[%s]: %s", f.section, f.reason)
	}
	return fmt.Sprintf("[%s] %s: %s", f.section, f.key, f.reason)
}
