package mesh

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/daemon"
	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/declaration"
	"siskinspar.example/standin/backend"
	"siskinspar.example/standin/loopback"
	"siskinspar.example/standin/platform"
)

// The credentials that all daemons of the meshes of one process share. They differ from process to process.
var (
	// PeerKey authenticates the daemons to each other.
	PeerKey = "loopback-peer-" + rand.Text()
	// OperatorToken authenticates operators at the operator listener.
	OperatorToken = "loopback-operator-" + rand.Text()
	// BackendToken authenticates the announcements of backend servers at the operator listener.
	BackendToken = "loopback-backend-" + rand.Text()
)

// Mesh runs a platform stand-in and daemons with their backend servers. Its exported fields are set before
// StartPlatform and not changed afterwards.
type Mesh struct {
	// Platform is the platform stand-in, for instance one with limited rates; nil stands for one without limits.
	Platform *platform.Server
	// Logger receives the log of the daemons and the HTTP servers; nil discards it.
	Logger *slog.Logger
	// Adjust, if set, changes the settings of each daemon before it starts.
	Adjust func(*settings.Settings)

	network         Network
	platformAddress string
	platformServer  *http.Server
	nodes           []*Node
}

// Node is one daemon with the backend servers beside it; its addresses stay the same across restarts.
type Node struct {
	mesh            *Mesh
	name            string
	centre          string
	labels          declaration.Labels
	peerAddress     string
	callerAddress   string
	operatorAddress string
	daemon          *daemon.Daemon
	backends        []*Backend
}

// Backend is a backend server that announces itself to the daemon of its node.
type Backend struct {
	server         *backend.Server
	address        string
	httpServer     *http.Server
	announcer      *backend.Announcer
	stopAnnouncing context.CancelFunc
}

// Server returns the stand-in that serves the requests.
func (b *Backend) Server() *backend.Server { return b.server }

// StartPlatform starts the platform stand-in on a free loopback port; it must be called before the first daemon is
// added.
func (m *Mesh) StartPlatform() error {
	if m.Platform == nil {
		m.Platform = &platform.Server{}
	}
	if m.Logger == nil {
		m.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	l, err := listen(loopback.Address())
	if err != nil {
		return err
	}

	m.platformAddress = l.Addr().String()
	m.platformServer = &http.Server{Handler: m.Platform, ErrorLog: slog.NewLogLogger(m.Logger.Handler(), slog.LevelDebug)}
	go func() { _ = m.platformServer.Serve(l) }()
	return nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrap(err, "listen on loopback")
}

// AddDaemon starts a daemon with the given name and labels in a data centre, on loopback addresses of its own.
func (m *Mesh) AddDaemon(name, centre string, labels declaration.Labels) (*Node, error) {
	n := &Node{mesh: m, name: name, centre: centre, labels: labels, peerAddress: loopback.Address(), callerAddress: loopback.Address(), operatorAddress: loopback.Address()}
	if err := n.start(); err != nil {
		return nil, err
	}
	m.nodes = append(m.nodes, n)
	return n, nil
}

// Nodes returns the daemons in the order in which they were added.
func (m *Mesh) Nodes() []*Node { return m.nodes }

// Stop kills all daemons and backend servers, and the platform stand-in.
func (m *Mesh) Stop() {
	for _, n := range m.nodes {
		n.Kill()
	}
	if m.platformServer != nil {
		_ = m.platformServer.Close()
	}
}

// seeds returns the peer addresses of at most three running daemons.
func (m *Mesh) seeds() []string {
	const maxSeeds = 3
	var seeds []string
	for _, n := range m.nodes {
		if n.daemon != nil && len(seeds) < maxSeeds {
			seeds = append(seeds, n.peerAddress)
		}
	}
	return seeds
}

// start opens the listeners and starts the daemon. A restarted node listens on the same ports as before.
func (n *Node) start() error {
	listeners := make([]net.Listener, 0, 3)
	for _, address := range []*string{&n.peerAddress, &n.callerAddress, &n.operatorAddress} {
		l, err := listen(*address)
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
	}
	n.mesh.network.register(n.peerAddress, n.centre)
	s := n.settings()
	if n.mesh.Adjust != nil {
		n.mesh.Adjust(s)
	}
	if faults := daemon.Prepare(s); len(faults) > 0 {
		return eris.Errorf("invalid settings of daemon %s: %v", n.name, faults)
	}
	n.daemon = &daemon.Daemon{
		Settings: s, Logger: n.mesh.Logger.With("instance", n.name),
		PeerListener: listeners[0], CallerListener: listeners[1], OperatorListener: listeners[2],
		Dialer: n.mesh.network.dialer(n.centre),
	}
	return n.daemon.Start()
}

func (n *Node) settings() *settings.Settings {
	labels := declaration.Labels{}
	for key, value := range n.labels {
		labels[key] = value
	}
	return &settings.Settings{
		Instance:  settings.Instance{Name: n.name, DataCentre: n.centre, Labels: labels},
		Callers:   settings.Callers{Listen: n.callerAddress},
		Peers:     settings.Peers{Listen: n.peerAddress, Seeds: n.mesh.seeds(), Key: PeerKey},
		Operators: settings.Operators{Listen: n.operatorAddress, Token: OperatorToken, BackendToken: BackendToken},
		Platform:  settings.Platform{Address: n.mesh.platformAddress},
		Drain:     settings.Drain{Notice: 200 * time.Millisecond, Limit: 10 * time.Second},
	}
}

// Name returns the name of the instance.
func (n *Node) Name() string { return n.name }

// CallerAddress returns the address of the caller listener.
func (n *Node) CallerAddress() string { return n.callerAddress }

// PeerAddress returns the address of the peer listener.
func (n *Node) PeerAddress() string { return n.peerAddress }

// Daemon returns the daemon, or nil while it is stopped or killed.
func (n *Node) Daemon() *daemon.Daemon { return n.daemon }

// Backends returns the backend servers beside the daemon.
func (n *Node) Backends() []*Backend { return n.backends }

// OperatorClient returns a client of the operator listener that presents OperatorToken and waits at most 10 s for an
// answer.
func (n *Node) OperatorClient() *operatorapi.Client {
	return &operatorapi.Client{Address: n.operatorAddress, Token: OperatorToken, HTTP: &http.Client{Timeout: 10 * time.Second}}
}

// Kill ends the daemon without a drain, together with the backend servers beside it.
func (n *Node) Kill() {
	for _, b := range n.backends {
		b.Kill()
	}
	n.backends = nil
	n.KillDaemon()
}

// KillDaemon ends the daemon without a drain; its backend servers keep running.
func (n *Node) KillDaemon() {
	if n.daemon != nil {
		n.daemon.Kill()
		n.daemon = nil
	}
}

// Stop drains the daemon, so that requests in flight finish, and then ends it; its backend servers keep running.
func (n *Node) Stop() {
	if n.daemon != nil {
		n.daemon.Stop()
		n.daemon = nil
	}
}

// Restart starts the daemon again after Kill, KillDaemon or Stop, on the same ports and without its former state.
func (n *Node) Restart() error { return n.start() }

// AddBackend starts a backend server on a free loopback port and announces it to the daemon with the given labels and
// number of connections that it accepts.
func (n *Node) AddBackend(s *backend.Server, labels declaration.Labels, connections int) (*Backend, error) {
	l, err := listen(loopback.Address())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Backend{server: s, address: l.Addr().String(), stopAnnouncing: cancel, httpServer: &http.Server{Handler: s, ErrorLog: slog.NewLogLogger(n.mesh.Logger.Handler(), slog.LevelDebug)}}
	b.announcer = &backend.Announcer{
		Client: &operatorapi.Client{Address: n.operatorAddress, Token: BackendToken, HTTP: &http.Client{Timeout: 2 * time.Second}},
		Announcement: operatorapi.Announcement{
			Name: s.Name, Address: l.Addr().String(), Labels: labels, Slots: s.Slots, Connections: connections,
			TimeToLive: 5, HealthPath: "/standin/health", LoadPath: "/standin/load",
		},
	}
	go func() { _ = b.httpServer.Serve(l) }()
	b.announcer.Start(ctx)
	n.backends = append(n.backends, b)
	return b, nil
}

// Address returns the address on which the backend server itself listens.
func (b *Backend) Address() string { return b.address }

// Kill closes the backend server with its connections, as a crash would, and stops its announcements.
func (b *Backend) Kill() {
	_ = b.httpServer.Close()
	b.stopAnnouncing()
}

// AwaitMembership waits until every running daemon serves and knows all running daemons and backend servers. When the
// context ends first, the error describes the first daemon that does not.
func (m *Mesh) AwaitMembership(ctx context.Context) error {
	for {
		incomplete := m.describeIncomplete()
		if incomplete == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), incomplete)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// describeIncomplete describes the first running daemon that does not serve or does not know all running daemons and
// backend servers. It returns an empty string if there is none.
func (m *Mesh) describeIncomplete() string {
	running := 0
	backends := 0
	for _, n := range m.nodes {
		if n.daemon != nil {
			running++
			backends += len(n.backends)
		}
	}
	for _, n := range m.nodes {
		if n.daemon == nil {
			continue
		}
		c := n.daemon.Core()
		known := 0
		serving := c.Roster.Serving()
		for _, r := range serving {
			known += len(r.BackendServers)
		}
		if !c.ControlNode.IsServing() || len(serving) != running || known != backends {
			return fmt.Sprintf("daemon %s: serving %t, knows %d of %d daemons and %d of %d backend servers", n.name, c.ControlNode.IsServing(), len(serving), running, known, backends)
		}
	}
	return ""
}
