// Package local runs a complete deployment on loopback in one process: the stand-in of
// the platform, workers, and nodes that use the same code and real sockets as gypsumd.
// The demonstration, the experiments and the end-to-end tests use it.
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

// SignerName is the name under which a fleet's bundles are signed.
const SignerName = "Local Signer"

// anyPort lets the system pick a free port on loopback.
const anyPort = "127.0.0.1:0"

// Service describes the workers of one service.
type Service struct {
	Name    model.ServiceName
	Workers int
	// Profiles are the workers' service times by path.
	Profiles []worker.Profile
	// Handler replaces the stand-in worker when it is not nil.
	Handler http.Handler
	// CrashOn, when not nil, selects the requests that crash the worker of an instance.
	// CrashDelay and RestartDelay are passed to the stand-in worker.
	CrashOn                  func(model.InstanceID, answer.Request) bool
	CrashDelay, RestartDelay time.Duration
}

// Config describes a fleet.
type Config struct {
	// Bundle is the TOML of the first published bundle.
	Bundle   []byte
	Services []Service
	// DataCentres is the number of data centres that workers are distributed over.
	DataCentres int
	// CrossDelay is the one-way network delay between data centres; zero disables it.
	CrossDelay time.Duration
	// Slots is the number of slots of each worker.
	Slots int
	// Policy is the routing policy. The baselines are for experiments.
	Policy route.Policy
	// StopTimeout and LeaveGrace are passed to the nodes.
	StopTimeout time.Duration
	LeaveGrace  time.Duration
	Seed        uint64
	// ProbeAge and OnCall are passed to the nodes.
	ProbeAge time.Duration
	OnCall   func(server.CallRecord)
	// PeerTLS enables mutual TLS on all peer ports when it is not nil.
	PeerTLS *tls.Config
	// SeedPeers gives each node the peer addresses of the nodes that run when it starts,
	// so that it finds them without the platform.
	SeedPeers bool
	// Log and RequestLog are passed to the nodes; each line gets the instance id of its
	// node as the field "node". The zero RequestLog drops its lines.
	Log        zerolog.Logger
	RequestLog zerolog.Logger
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
	exited     chan error
	stopped    atomic.Bool
}

// WorkerAddress returns the address of the member's worker.
func (m *Member) WorkerAddress() string { return m.workerAddr }

// Stopped reports whether the member was stopped or killed, or its node failed.
func (m *Member) Stopped() bool { return m.stopped.Load() }

// Fleet is a running deployment.
type Fleet struct {
	Platform *platform.Platform
	Ledger   *worker.Ledger

	cfg          Config
	signingKey   ed25519.PrivateKey
	signer       bundle.Signer
	platformHTTP *http.Server
	platformAddr string

	mu      sync.Mutex
	members []*Member
	// centreByPeer maps a peer address to its data centre.
	centreByPeer map[string]model.DataCentre
}

// ledgerSize is the number of request ids that the ledger remembers.
const ledgerSize = 1 << 20

// Start publishes the bundle and then starts workers and nodes. Close stops them.
func Start(cfg Config) (*Fleet, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, fmt.Errorf("generate signing key: %w", err)
	}
	f := &Fleet{
		Platform:     platform.New(platform.Config{}),
		Ledger:       worker.NewLedger(ledgerSize),
		cfg:          cfg,
		signingKey:   private,
		signer:       bundle.Signer{Name: SignerName, Key: public},
		centreByPeer: map[string]model.DataCentre{},
	}
	if err := f.start(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start() error {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return fmt.Errorf("listen for platform stand-in: %w", err)
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

// Publish signs and publishes a bundle.
func (f *Fleet) Publish(data []byte) error {
	if _, err := f.Platform.PublishSigned(bundle.Sign(SignerName, f.signingKey, data)); err != nil {
		return fmt.Errorf("publish bundle: %w", err)
	}
	return nil
}

// Add starts one more worker of a service with its node. i, counted from 0, determines
// its instance id and its data centre.
func (f *Fleet) Add(s Service, i int) (*Member, error) {
	centre := i%max(f.cfg.DataCentres, 1) + 1
	m := &Member{
		ID:         model.InstanceID(fmt.Sprintf("%s-%d", s.Name, i+1)),
		Service:    s.Name,
		DataCentre: model.DataCentre(fmt.Sprintf("dc%d", centre)),
		exited:     make(chan error, 1),
	}
	if err := f.startNode(m, s); err != nil {
		return nil, fmt.Errorf("start %s: %w", m.ID, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	return m, nil
}

// startNode creates the node before the worker, because the worker's own calls go through
// the node, and runs the node only once the worker serves, because the node polls it.
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
	f.centreByPeer[m.Node.PeerAddress()] = m.DataCentre
	f.mu.Unlock()
	f.Platform.PutInstance(model.Instance{ID: m.ID, Service: m.Service, DataCentre: m.DataCentre, PeerAddress: m.Node.PeerAddress(), State: model.StateLive})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go func() { m.exited <- m.Node.Run(ctx) }()
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

		CrashOn: crashOn(m.ID, s), CrashDelay: s.CrashDelay, RestartDelay: s.RestartDelay,
	})
	if err != nil {
		return err
	}
	m.workerHTTP = m.Worker.NewServer(l)
	go m.workerHTTP.Serve(l)
	return nil
}

// crashOn returns the selection of requests that crash the worker of one instance.
func crashOn(id model.InstanceID, s Service) func(answer.Request) bool {
	if s.CrashOn == nil {
		return nil
	}
	return func(r answer.Request) bool { return s.CrashOn(id, r) }
}

// nodeLogger returns a logger that names the node in each line.
func nodeLogger(l zerolog.Logger, id model.InstanceID) zerolog.Logger {
	return l.With().Str("node", string(id)).Logger()
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
		Log:             nodeLogger(f.cfg.Log, m.ID),
		RequestLog:      nodeLogger(f.cfg.RequestLog, m.ID),
	}
}

// seeds returns the peer addresses of the running nodes, or nil unless SeedPeers is set.
func (f *Fleet) seeds() []string {
	if !f.cfg.SeedPeers {
		return nil
	}
	var out []string
	for _, m := range f.Members() {
		if !m.stopped.Load() {
			out = append(out, m.Node.PeerAddress())
		}
	}
	return out
}

// dialer returns a dialer that delays connections to other data centres.
func (f *Fleet) dialer(own model.DataCentre) delay.Dialer {
	return delay.Dialer{OneWay: func(address string) time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		if other, known := f.centreByPeer[address]; known && other != own {
			return f.cfg.CrossDelay
		}
		return 0
	}}
}

// Members returns the members in the order in which they started, stopped ones included.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.members...)
}

// CallerAddresses returns the caller addresses of the running nodes.
func (f *Fleet) CallerAddresses() []string {
	var out []string
	for _, m := range f.Members() {
		if !m.stopped.Load() {
			out = append(out, m.Node.CallerAddress())
		}
	}
	return out
}
