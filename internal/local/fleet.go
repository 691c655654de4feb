// Package local runs a whole deployment on loopback in one process: the
// platform's stand-in, workers, and nodes through the same code and real sockets
// as gypsumd. For the demonstration, the experiments and end-to-end tests.
package local

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/fake/delay"
	"gypsumstand/internal/fake/listen"
	"gypsumstand/internal/fake/platform"
	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/model"
	"gypsumstand/internal/node"
	"gypsumstand/internal/route"
	"gypsumstand/internal/server"
)

// Signer is the name that a fleet's bundles are signed off in.
const Signer = "Local Signer"

// anyPort is a free port on loopback.
const anyPort = "127.0.0.1:0"

// pollInterval is the pace of waiting for a state.
const pollInterval = 10 * time.Millisecond

// Service describes the workers of one service.
type Service struct {
	Name    model.ServiceName
	Workers int
	// Profiles are the workers' service times.
	Profiles []worker.Profile
	// Handler, when not nil, takes the place of the stand-in worker.
	Handler http.Handler
	// Deadly, CrashDelay and RestartDelay are the stand-in worker's.
	CrashOn                  func(answer.Request) bool
	CrashDelay, RestartDelay time.Duration
}

// Config describes a fleet.
type Config struct {
	// Bundle is the TOML of the first bundle.
	Bundle   []byte
	Services []Service
	// DataCentres is the number of data centres over which workers are spread.
	DataCentres int
	// CrossDelay is the one-way time between data centres; zero means none.
	CrossDelay time.Duration
	// Slots of each worker.
	Slots int
	// Policy of routing; baselines are for experiments.
	Policy route.Policy
	// StopTimeout and LeaveGrace are the nodes' settings.
	StopTimeout time.Duration
	LeaveGrace  time.Duration
	Seed        uint64
	// ProbeAge and OnCall are the nodes' settings.
	ProbeAge time.Duration
	OnCall   func(server.CallRecord)
	// PeerTLS, when not nil, is the mutual TLS of all peer ports.
	PeerTLS *tls.Config
	// SeedPeers gives each node the peer addresses of those that run at its start,
	// so that it finds them without the platform.
	SeedPeers bool
	Log       zerolog.Logger
}

// Member is one node with its worker.
type Member struct {
	ID         model.InstanceID
	Service    model.ServiceName
	DataCentre model.DataCentre
	Node       *node.Node
	Worker     *worker.Worker

	workerHTTP *http.Server
	workerAddr string
	stop       context.CancelFunc
	ended      chan error
	over       atomic.Bool
}

// WorkerAddress returns the address of the member's worker.
func (m *Member) WorkerAddress() string { return m.workerAddr }

// Stopped tells whether the member was stopped or killed.
func (m *Member) Stopped() bool { return m.over.Load() }

// Fleet is a running deployment.
type Fleet struct {
	Platform *platform.Platform
	Ledger   *worker.Ledger

	cfg          Config
	key          ed25519.PrivateKey
	signer       bundle.Signer
	platformHTTP *http.Server
	platformAddr string

	mu      sync.Mutex
	members []*Member
	// centres finds the data centre of a peer address.
	centres map[string]model.DataCentre
}

// ledgerSize is the number of request ids that the oracle remembers.
const ledgerSize = 1 << 20

// Start runs the fleet; Close ends it. The bundle is published before any node
// starts.
func Start(cfg Config) (*Fleet, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	f := &Fleet{
		Platform: platform.New(platform.Config{}),
		Ledger:   worker.NewLedger(ledgerSize),
		cfg:      cfg,
		key:      private,
		signer:   bundle.Signer{Name: Signer, Key: public},
		centres:  map[string]model.DataCentre{},
	}
	if err := f.start(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start() error {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	f.platformAddr = l.Addr().String()
	f.platformHTTP = f.Platform.NewServer()
	go f.platformHTTP.Serve(l)
	if err := f.Publish(f.cfg.Bundle); err != nil {
		return err
	}
	for _, s := range f.cfg.Services {
		for i := range s.Workers {
			if _, err := f.Add(s, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// Publish signs a bundle off and publishes it.
func (f *Fleet) Publish(data []byte) error {
	if _, err := f.Platform.PublishSigned(bundle.Sign(Signer, f.key, data)); err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	return nil
}

// Add starts one more worker of a service with its node. i gives its name and
// data centre.
func (f *Fleet) Add(s Service, i int) (*Member, error) {
	centre := i%max(f.cfg.DataCentres, 1) + 1
	m := &Member{
		ID:         model.InstanceID(fmt.Sprintf("%s-%d", s.Name, i+1)),
		Service:    s.Name,
		DataCentre: model.DataCentre(fmt.Sprintf("dc%d", centre)),
		ended:      make(chan error, 1),
	}
	if err := f.startNode(m, s); err != nil {
		return nil, fmt.Errorf("%s: %w", m.ID, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	return m, nil
}

// startNode starts the worker first, as the node polls it; the worker's own
// calls go through the node.
func (f *Fleet) startNode(m *Member, s Service) error {
	l, err := listen.TCP(anyPort)
	if err != nil {
		return err
	}
	m.workerAddr = l.Addr().String()
	m.Node, err = node.New(f.nodeConfig(m))
	if err != nil {
		l.Close()
		return err
	}
	if err := f.startWorker(m, s, l); err != nil {
		l.Close()
		return err
	}
	f.mu.Lock()
	f.centres[m.Node.PeerAddress()] = m.DataCentre
	f.mu.Unlock()
	f.Platform.PutInstance(model.Instance{ID: m.ID, Service: m.Service, DataCentre: m.DataCentre, PeerAddress: m.Node.PeerAddress(), State: model.StateLive})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go func() { m.ended <- m.Node.Run(ctx) }()
	return nil
}

func (f *Fleet) startWorker(m *Member, s Service, l *listen.Listener) error {
	if s.Handler != nil {
		m.workerHTTP = &http.Server{Handler: s.Handler, ReadHeaderTimeout: time.Second}
		go m.workerHTTP.Serve(l)
		return nil
	}
	var err error
	m.Worker, err = worker.New(worker.Config{
		Slots:    f.cfg.Slots,
		Profiles: s.Profiles,
		Seed:     f.cfg.Seed + uint64(len(f.Members())),
		Ledger:   f.Ledger,
		Node:     m.Node.CallerAddress(),

		CrashOn: s.CrashOn, CrashDelay: s.CrashDelay, RestartDelay: s.RestartDelay,
	})
	if err != nil {
		return err
	}
	m.workerHTTP = m.Worker.NewServer(l)
	go m.workerHTTP.Serve(l)
	return nil
}

func (f *Fleet) nodeConfig(m *Member) node.Config {
	return node.Config{
		Instance:        m.ID,
		Service:         m.Service,
		DataCentre:      m.DataCentre,
		CallerAddress:   anyPort,
		PeerAddress:     anyPort,
		OperatorAddress: anyPort,
		WorkerAddress:   m.workerAddr,
		ListAddresses:   []string{f.platformAddr},
		ConfigAddresses: []string{f.platformAddr},
		PlatformTimeout: time.Second,
		Seeds:           f.seeds(),
		Trusted:         []bundle.Signer{f.signer},
		PeerTLS:         f.cfg.PeerTLS,
		DialPeer:        f.dialer(m.DataCentre).DialContext,
		StopTimeout:     f.cfg.StopTimeout,
		LeaveGrace:      f.cfg.LeaveGrace,
		LocalDelay:      100 * time.Microsecond,
		RemoteDelay:     time.Millisecond,
		MaxHeaderBytes:  32 << 10,
		IdleTimeout:     time.Minute,
		Policy:          f.cfg.Policy,
		ProbeAge:        f.cfg.ProbeAge,
		OnCall:          f.cfg.OnCall,
		Log:             f.cfg.Log,
	}
}

// seeds returns the peer addresses of the running nodes when they are wanted.
func (f *Fleet) seeds() []string {
	if !f.cfg.SeedPeers {
		return nil
	}
	var out []string
	for _, m := range f.Members() {
		if !m.over.Load() {
			out = append(out, m.Node.PeerAddress())
		}
	}
	return out
}

// dialer delays connections to other data centres.
func (f *Fleet) dialer(own model.DataCentre) delay.Dialer {
	return delay.Dialer{OneWay: func(address string) time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		if other, known := f.centres[address]; known && other != own {
			return f.cfg.CrossDelay
		}
		return 0
	}}
}

// Members returns the members in the order of their start, ended ones included.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.members...)
}

// CallerAddresses returns the caller addresses of the running nodes.
func (f *Fleet) CallerAddresses() []string {
	var out []string
	for _, m := range f.Members() {
		if !m.over.Load() {
			out = append(out, m.Node.CallerAddress())
		}
	}
	return out
}

// Await polls until every running member satisfies ok, or ctx ends.
func (f *Fleet) Await(ctx context.Context, ok func(*Member) bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		waiting := f.firstNot(ok)
		if waiting == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", waiting.ID, ctx.Err())
		}
	}
}

func (f *Fleet) firstNot(ok func(*Member) bool) *Member {
	for _, m := range f.Members() {
		if !m.over.Load() && !ok(m) {
			return m
		}
	}
	return nil
}

// Ready tells whether the member's node serves and its worker is live.
func Ready(m *Member) bool {
	board := m.Node.Core().Board
	ready := board.Readiness.Get()
	return ready != nil && ready.Ready && board.Self.Get().Instance.State == model.StateLive
}

// Warm tells whether the member's slow start is over: its owner runs as many
// requests at once as slots allow.
func (f *Fleet) Warm(m *Member) bool {
	return Ready(m) && int(m.Node.Core().Owner.Report(time.Now()).Limit) >= f.cfg.Slots
}

// HasVersion tells whether the member has that version or a newer one in force.
func HasVersion(v model.BundleVersion) func(*Member) bool {
	return func(m *Member) bool {
		held := m.Node.Core().Board.Bundles.Get().Bundle(v.Name)
		return held != nil && held.Version >= v.Version
	}
}

// Stop stops a member as planned: its node drains, then its worker stops. The
// error is node.ErrCutOff when a request was cut off.
func (f *Fleet) Stop(m *Member) error {
	m.stop()
	err := <-m.ended
	f.end(m)
	return err
}

// AwaitFailure waits until a member's node has ended by itself, and returns why; or until ctx
// ends.
func (f *Fleet) AwaitFailure(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for _, m := range f.Members() {
			select {
			case err := <-m.ended:
				f.end(m)
				m.stop()
				return err
			default:
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Kill ends a member's node and worker at once.
func (f *Fleet) Kill(m *Member) {
	m.Node.Kill()
	f.end(m)
	m.stop()
	<-m.ended
}

// KillWorker ends a member's worker at once, with all its connections; its node
// goes on.
func (f *Fleet) KillWorker(m *Member) error {
	if err := m.workerHTTP.Close(); err != nil {
		return fmt.Errorf("%s: end worker: %w", m.ID, err)
	}
	return nil
}

func (f *Fleet) end(m *Member) {
	m.over.Store(true)
	m.workerHTTP.Close()
}

// Close ends everything at once. The error joins those of nodes that could not
// serve.
func (f *Fleet) Close() error {
	var errs []error
	for _, m := range f.Members() {
		if !m.over.Load() {
			f.Kill(m)
		}
	}
	if f.platformHTTP != nil {
		errs = append(errs, f.platformHTTP.Close())
	}
	return errors.Join(errs...)
}
