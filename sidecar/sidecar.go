package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/bandwidth"
	"siskinspar.example/sidecar/configuration"
	"siskinspar.example/sidecar/connection"
	"siskinspar.example/sidecar/departure"
	"siskinspar.example/sidecar/discovery"
	"siskinspar.example/sidecar/entry"
	"siskinspar.example/sidecar/httpserver"
	"siskinspar.example/sidecar/ingress"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/quota/exchange"
	"siskinspar.example/sidecar/relay"
	"siskinspar.example/sidecar/rollout"
	"siskinspar.example/sidecar/settings"
	"siskinspar.example/store"
)

// Headers translates the headers of requests and answers.
type Headers interface {
	entry.Headers
	owner.Headers
}

// Store is the part of the platform's store that the daemon uses.
type Store interface {
	discovery.Store
	departure.Store
	// Swap writes a row if its version is the expected one, or if it does not exist and the expected version is 0.
	// Otherwise isSwapped is false and current is the row as it is, with version 0 if it does not exist. If the row was
	// written, current holds its new version. After an error the row may have been written, or may still be.
	Swap(ctx context.Context, table, key string, value []byte, expected uint64) (current discovery.Row, isSwapped bool, err error)
}

// Rollouts decodes the orders of roll-outs in the table of the configuration, and encodes what the operator is told.
type Rollouts interface {
	// IsOrder reports whether the row with a key is an order.
	IsOrder(key string) bool
	// DecodeOrder returns the order in a row with a version, read in an era of the store, or an error if it is odd.
	DecodeOrder(key string, value []byte, version, era uint64) (rollout.Order, error)
	// EncodeStatus returns the row that tells the operator of the state of a roll-out.
	EncodeStatus(r rollout.Rollout) (table, key string, value []byte, err error)
}

// Platform holds what the daemon uses of its platform, as the platform's adapter provides it.
type Platform struct {
	Headers       Headers
	Configuration configuration.Decoder
	Store         Store
	// ConfigurationTable and ConfigurationKey name the row of the newest configuration.
	ConfigurationTable string
	ConfigurationKey   string
	// Rollouts is nil on a platform without roll-outs.
	Rollouts Rollouts
	// NewAnnouncements returns the handler for the calls of the backend server.
	NewAnnouncements func(o *owner.Owner, l *slog.Logger) http.Handler
}

// Sidecar is one daemon; its exported fields are set before Run.
type Sidecar struct {
	Settings *settings.Settings
	Platform Platform
	Logger   *slog.Logger
	// Reloads delivers the settings that were read anew while the daemon runs.
	Reloads <-chan *settings.Settings

	incarnation   int64
	registry      metrics.Registry
	configuration *configuration.Holder
	members       *member.Table
	pacer         *bandwidth.Pacer
	memory        *memory.Budget
	answerMemory  *memory.Budget
	pool          *peer.Pool
	owner         *owner.Owner
	departures    *departure.Book
	quarantine    *Quarantine
	coordinator   *exchange.Coordinator
	entry         *entry.Handler
	prober        *discovery.Prober
	// selectorLock guards selector.MustFollow; the tables that it reads have locks of their own, taken after it.
	selectorLock sync.Mutex
	selector     *relay.Selector
	// storeFailedAt is when the store last failed a read, by the steady clock, or nil after a success.
	storeFailedAt atomic.Pointer[time.Time]
	// storeEra is the newest era of the store that this daemon or another one has read.
	storeEra store.Era
	// freshness says since when the configuration in force may be older than that at the store.
	freshness discovery.Freshness
	// follower is the follower of the store, or nil while there is none.
	follower atomic.Pointer[discovery.Follower]
	// following ends with the parts that read the store.
	following context.Context
	// suspicion says when to read the configuration beside the relays, since one of them can't read the store.
	suspicion  storeSuspicion
	rollouts   *rollouts
	ingress    *ingress.Server
	peers      *peer.Server
	servers    []*httpserver.Server
	isStopping atomic.Bool
	sequence   atomic.Uint64
}

// Run starts all parts and serves until the context ends, then answers the requests it has read and stops. It returns
// an error if a listener can't be opened.
func (s *Sidecar) Run(ctx context.Context) error {
	s.incarnation = time.Now().UnixMilli()
	s.registry = metrics.NewRegistry()
	s.members = member.NewTable()
	s.quarantine = &Quarantine{}
	s.configuration = &configuration.Holder{Decoder: s.Platform.Configuration, Logger: s.Logger, OnChange: s.announceConfiguration}
	s.selector = &relay.Selector{Address: s.Settings.Daemons, DataCentre: s.Settings.DataCentre, Jitter: rand.Float64()}
	s.pacer = bandwidth.NewPacer(s.Settings.LinkBits)
	if s.Settings.MemoryBytes > 0 {
		s.memory = &memory.Budget{Bytes: int64(bodyMemoryShare * float64(s.Settings.MemoryBytes))}
		s.answerMemory = &memory.Budget{Bytes: int64(answersMemoryShare * float64(s.Settings.MemoryBytes)), Whole: s.memory}
	}
	s.pool = &peer.Pool{Pacer: s.pacer, Memory: s.memory}
	following, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	s.following = following
	s.startOwner()
	s.rollouts = newRollouts(s)
	s.newEntry(s.newQuotas(following))
	s.startProber(following)
	s.departures.Run(following)
	s.rollouts.run(following)
	if err := s.startListeners(); err != nil {
		return err
	}
	registered := make(chan struct{})
	go s.stayRegistered(following, registered)
	go (&storeFollower{sidecar: s}).run(following, registered)
	s.Logger.Info("daemon: started", "instance", s.Settings.Instance, "data-centre", s.Settings.DataCentre, "service", s.Settings.Service, "incarnation", s.incarnation)
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return nil
		case next := <-s.Reloads:
			s.reload(next)
		}
	}
}

const (
	// bodyMemoryShare is the share of the memory of the process that bodies may take while they are read.
	bodyMemoryShare = 0.2
	// answersMemoryShare is the part of bodyMemoryShare that the answers of the backend server may take together. The rest
	// stays for clients and other daemons while a server in trouble sends without end.
	answersMemoryShare = 0.15
	// answerMemoryShare is the share of the memory of the process that the body of one answer may take.
	answerMemoryShare = 0.06
)

// extraRequests is the number of requests that may wait at the backend server beyond its slots, so that the next one
// runs without a message between daemons when a slot becomes free.
const extraRequests = 1

func (s *Sidecar) startOwner() {
	s.departures = &departure.Book{
		Daemon: s.Settings.Daemons, Store: s.Platform.Store, Era: &s.storeEra, Logger: s.Logger, IsNew: s.Settings.IsFirstStart,
		OnRead: func(d departure.Departure) { s.owner.RecordDrain(member.Server{ID: d.Server(), Born: d.Born()}) },
	}
	s.owner = &owner.Owner{
		Logger: s.Logger, Headers: s.Platform.Headers, Address: s.Settings.Daemons, Service: s.Settings.Service, Incarnation: s.incarnation, ExtraRequests: extraRequests, OnChange: s.sendRecord, Link: s.pacer,
		MaximumConnections: func(service string) int {
			if t := s.configuration.Table(); t != nil {
				return t.MaximumConnections(service)
			}
			return 0
		},
		MaximumAnswerSize: int(answerMemoryShare * float64(s.Settings.MemoryBytes)), Memory: s.answerMemory,
		OnLeave: func(server member.Server) { s.departures.Record(departure.New(server.ID, server.Born, time.Now())) },
		OnDial:  func() { metrics.GetOrRegisterCounter("owner.dials", s.registry).Inc(1) },
	}
	s.owner.Run()
}

// sendRecord sends the changed record of this daemon to the other daemons at once.
func (s *Sidecar) sendRecord() {
	s.sequence.Add(1)
	s.prober.ProbeAll()
}

func (s *Sidecar) startProber(ctx context.Context) {
	s.prober = &discovery.Prober{
		Address: s.Settings.Daemons, DataCentre: s.Settings.DataCentre, Members: s.members, Pool: s.pool, StateExchange: s, Configuration: s.configuration, Freshness: &s.freshness, Logger: s.Logger,
		Relays: func() []string { return s.relays(time.Now()) }, IsHurried: func() bool { return s.suspicion.isRecent(time.Now()) },
	}
	s.addSeeds(s.Settings.Seeds)
	s.prober.Run(ctx)
}

// addSeeds adds the daemons of the seed instances, which use the same port as this one, and returns how many were new.
func (s *Sidecar) addSeeds(seeds []netip.Addr) int {
	own, err := netip.ParseAddrPort(s.Settings.Daemons)
	if err != nil {
		s.Logger.Error("daemon: seeds ignored, own address is invalid", "error", err)
		return 0
	}
	added := 0
	for _, a := range seeds {
		address := netip.AddrPortFrom(a, own.Port()).String()
		if address != s.Settings.Daemons && s.members.Add(address, "") {
			added++
		}
	}
	return added
}

// reload applies the settings that may change while the daemon runs and logs those that need a restart.
func (s *Sidecar) reload(next *settings.Settings) {
	if restart := s.Settings.NeedsRestart(next); len(restart) > 0 {
		s.Logger.Warn("daemon: changed settings need a restart", "settings", restart)
	}
	changed := s.addSeeds(next.Seeds)
	s.Logger.Info("daemon: settings reloaded", "new-daemons", changed)
}

// numberBits is the number of bits that the jobs of one start of the daemon may take; the start takes those above.
const numberBits = 20

// newEntry prepares the part that serves clients.
func (s *Sidecar) newEntry(q entry.Quotas) {
	directory := &directory{table: s.members, owner: s.owner, address: s.Settings.Daemons, dataCentre: s.Settings.DataCentre}
	owners := &owners{address: s.Settings.Daemons, local: s.owner, pool: s.pool}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.entry = &entry.Handler{
		Address: s.Settings.Daemons, Service: s.Settings.Service, FirstNumber: uint64(s.incarnation) << numberBits, Configuration: s.configuration, Directory: directory,
		Owners: owners, Quarantine: s.quarantine, Running: s.owner, Headers: s.Platform.Headers, Meter: meter{s.registry}, Quotas: q, Logger: s.Logger, Random: random, RetryAllowance: s.Settings.RetryAllowance, Link: s.pacer,
		Placer: &placement.Placer{Address: s.Settings.Daemons, DataCentre: s.Settings.DataCentre, Random: random},
	}
	if s.Settings.HasRollouts {
		s.entry.Rollouts = s.rollouts
	}
}

func (s *Sidecar) startListeners() error {
	s.peers = &peer.Server{Address: s.Settings.Daemons, Service: &service{s}, Logger: s.Logger, Pacer: s.pacer, Memory: s.memory}
	s.ingress = &ingress.Server{Address: s.Settings.Clients, Handler: s.entry, Limits: s.limits, Logger: s.Logger, Pacer: s.pacer, Memory: s.memory}
	if err := s.peers.Run(); err != nil {
		return err
	}
	if err := s.ingress.Run(); err != nil {
		return err
	}
	if err := s.serve(s.Settings.Announcements, s.Platform.NewAnnouncements(s.owner, s.Logger)); err != nil {
		return err
	}
	if err := s.serve(s.Settings.Readiness, s.newReadiness()); err != nil {
		return err
	}
	if s.Settings.Metrics == "" {
		return nil
	}
	return s.serve(s.Settings.Metrics, s.newMetrics())
}

func (s *Sidecar) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	server := httpserver.New(&http.Server{Handler: h, ReadHeaderTimeout: requestTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: maximumHeadSize})
	s.servers = append(s.servers, server)
	l = server.Listener(connection.Listener{Listener: l})
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			s.Logger.Error("daemon: listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

// maximumHeadSize bounds the head of a call of the platform or the backend server in bytes.
const maximumHeadSize = 64 << 10

// requestTimeout bounds how long the platform or the backend server may take to send the headers of a call to the
// daemon. It also bounds clients until a configuration is in force.
const requestTimeout = 5 * time.Second

// limits returns the limits for clients of the configuration in force, or default limits before the first one.
func (s *Sidecar) limits() ingress.Limits {
	t := s.configuration.Table()
	if t == nil {
		return ingress.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: requestTimeout, IdleTimeout: requestTimeout}
	}
	return ingress.Limits(t.Limits())
}

// storeSource names the store as the source of a configuration.
const storeSource = "store"

// announceConfiguration tells the other daemons of this data centre of a new configuration, unless it came from one of
// them: that one tells them itself. If it came from another daemon, the store may have failed to tell this one.
func (s *Sidecar) announceConfiguration(source string) {
	if f := s.follower.Load(); f != nil && source != storeSource {
		f.Check()
	}
	if source == storeSource || s.members.DataCentre(source) != s.Settings.DataCentre {
		s.prober.ProbeNeighbours()
	}
}
