// Package node runs one node: it opens the ports, feeds the core with events,
// carries its actions out, and stops gracefully. Life cycle: New provisions, Run
// serves until its context ends, then drains and cleans up.
package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/core"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/event"
	"gypsumstand/internal/link"
	"gypsumstand/internal/metrics"
	"gypsumstand/internal/model"
	"gypsumstand/internal/registry"
	"gypsumstand/internal/route"
	"gypsumstand/internal/server"
	"gypsumstand/internal/suspension"
	"gypsumstand/internal/upstream"
)

// Config is a node's settings in checked form.
type Config struct {
	Instance   model.InstanceID
	Service    model.ServiceName
	DataCentre model.DataCentre
	// Regions names the region of each data centre.
	Regions model.DataCentreRegions
	// Addresses are "ip:port"; port 0 takes a free one.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	WorkerAddress   string
	// ListAddresses and ConfigAddresses are the platform's.
	ListAddresses   []string
	ConfigAddresses []string
	PlatformTimeout time.Duration
	Seeds           []string
	Trusted         []bundle.Signer
	// PeerTLS, when not nil, is the mutual TLS of the peer port.
	PeerTLS *tls.Config
	// Callers and Workers are how callers and the worker speak; nil means the
	// product's own dialect.
	Callers dialect.Callers
	Workers dialect.Workers
	// Directory, when not nil, is the source of instances and configuration, in
	// place of ListAddresses, ConfigAddresses, Seeds and Trusted.
	Directory Directory
	// DialPeer opens connections to other nodes; nil means TCP.
	DialPeer upstream.DialFunc
	// StopTimeout bounds a graceful stop; LeaveGrace is how long callers are
	// still accepted after "leaving" was told.
	StopTimeout time.Duration
	LeaveGrace  time.Duration
	LocalDelay  time.Duration
	RemoteDelay time.Duration
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// MaxIdleConnections bounds the idle connections to other nodes.
	MaxIdleConnections int
	// IdleTimeout bounds the idle time of callers' connections.
	IdleTimeout time.Duration
	// Policy of routing; others than the zero value are baselines for
	// experiments.
	Policy route.Policy
	// ProbeAge is for experiments; zero means the default. See core.Config.
	ProbeAge time.Duration
	// OnCall, when not nil, is told of each call besides the metrics; it does
	// not block.
	OnCall func(server.CallRecord)
	Log    zerolog.Logger
	// RequestLog takes the log lines about single requests.
	RequestLog zerolog.Logger
}

// Directory is a source of instances and configuration. Its methods may be called by
// many goroutines at once.
type Directory interface {
	// Read tells what changed after a revision, everything after zero. It blocks for
	// a bounded time.
	Read(ctx context.Context, after uint64) (control.DirectoryRead, error)
	// Configuration decodes a configuration as the source holds it.
	Configuration(data []byte) (*bundle.Bundle, error)
	// Close ends idle connections; it is called once no Read is under way.
	Close()
}

// DefaultIdleTimeout is how long a caller's idle connection is kept.
const DefaultIdleTimeout = time.Minute

// Bounds that are not settings.
const (
	maxAcceptedLinks = 64
	// A connection over these bounds waits to be accepted until one ends; idle
	// ones end by themselves (Config.IdleTimeout).
	maxCallerConnections   = 8192
	maxPeerConnections     = 8192
	maxOperatorConnections = 64
	eventQueue             = 1024
	readHeaderTimeout      = 5 * time.Second
)

// Node is one running node.
type Node struct {
	cfg       Config
	log       zerolog.Logger
	core      *core.Node
	executor  *server.Executor
	forwarder *server.Forwarder
	links     *link.Manager
	list      *registry.Client
	config    *registry.Client
	metrics   *metrics.Metrics
	settler   *settler
	// leavingTold: the core has taken the word of leaving, and what it wants done
	// about it has begun.
	leavingTold atomic.Bool
	// stopping: a planned stop has begun.
	stopping atomic.Bool
	// stopBegan is when it began, in Unix nanoseconds.
	stopBegan atomic.Int64
	// directs counts the direct messages that are under way.
	directs atomic.Int64
	// stopBound ends calls before a planned stop does.
	stopBound  *server.StopBound
	watch      *workerWatch
	events     chan control.Event
	lostSignal server.UnreachableSignal
	// tellsFailed counts what peers were not told of suspect requests.
	tellsFailed atomic.Uint64
	// hintsDropped counts the hints that the core's queue had no room for.
	hintsDropped atomic.Uint64
	// lostTold counts the owners out of reach that were named to peers.
	lostTold atomic.Uint64
	calls    callFilter

	ports  ports
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// startMu keeps start from racing with the final wait.
	startMu sync.Mutex
	// failed holds the first fault of a part until Run takes it; faults counts all.
	failed chan error
	faults atomic.Int64
}

// ports are the three listeners and their servers.
type ports struct {
	caller, peer, operator             net.Listener
	callerHTTP, peerHTTP, operatorHTTP *http.Server
}

// New opens the ports and makes a node. The caller must Run it.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg: cfg, log: cfg.Log, metrics: metrics.New(),
		events: make(chan control.Event, eventQueue),
		failed: make(chan error, 1),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if _, err := suspension.Now(); err != nil {
		event.Log(&n.log, event.SuspensionUnknown).Err(err).Send()
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.provision(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) listen() error {
	var errs []error
	open := func(name, address string, connections int) net.Listener {
		l, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s port: %w", name, err))
			return nil
		}
		return netutil.LimitListener(patientListener{l}, connections)
	}
	n.ports.caller = open("caller", n.cfg.CallerAddress, maxCallerConnections)
	n.ports.peer = open("peer", n.cfg.PeerAddress, maxPeerConnections)
	n.ports.operator = open("operator", n.cfg.OperatorAddress, maxOperatorConnections)
	if n.cfg.PeerTLS != nil && n.ports.peer != nil {
		n.ports.peer = tls.NewListener(n.ports.peer, n.cfg.PeerTLS)
	}
	if len(errs) > 0 {
		n.closeListeners()
	}
	return errors.Join(errs...)
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.ports.caller, n.ports.peer, n.ports.operator} {
		if l != nil {
			l.Close()
		}
	}
}

// provision makes the parts; the ports are open, so addresses are known.
func (n *Node) provision() error {
	if n.cfg.Callers == nil {
		n.cfg.Callers = dialect.Product{}
	}
	if n.cfg.Workers == nil {
		n.cfg.Workers = dialect.Product{}
	}
	if err := n.makeRegistry(); err != nil {
		return err
	}
	started := time.Now()
	n.makeCore(started)
	n.watch = newWorkerWatch(n)
	n.executor = server.NewExecutor(server.ExecutorConfig{
		Owner:              n.core.Owner,
		Address:            n.cfg.WorkerAddress,
		Dialect:            n.cfg.Workers,
		Worker:             n.worker,
		ConnectionObserved: n.watch.traffic,

		RequestLog:         &n.cfg.RequestLog,
		RefreshLoad:        n.watch.refresh,
		DirectoryFreshness: n.mark,
		WorkerIdentified:   n.watch.said,
		DetectCrash:        n.broke,

		PortClosed: n.workerRefused,
		Quarantine: n.core.Quarantine,
		RouteHost: func(host, method, path string) string {
			return n.core.Board.Bundles.Get().RouteHost(host, method, path)
		},
	})
	n.forwarder = server.NewForwarder(n.cfg.DialPeer, n.cfg.PeerTLS, n.cfg.MaxIdleConnections)
	n.forwarder.Unreachable = &server.UnreachableOwners{List: n.tellLost, Reported: n.heardLost}
	n.links = link.New(link.Config{
		Self: n.self, Sink: n.sink, OnPanic: n.partFailed,
		TLS: n.cfg.PeerTLS, Dial: n.cfg.DialPeer, MaxAccepted: maxAcceptedLinks,
	})
	n.settler = newSettler(n)
	n.stopBound = server.NewStopBound()
	n.makeServers()
	return nil
}

// worker returns the present life of the worker: the directory's word, or else
// what the worker itself last said.
func (n *Node) worker() model.WorkerID {
	if id := n.core.Worker(); id != "" {
		return id
	}
	return n.watch.worker()
}

// makeRegistry makes the clients of the platform's services, unless a directory
// takes their place.
func (n *Node) makeRegistry() error {
	if n.cfg.Directory != nil {
		return nil
	}
	var err error
	n.list, err = registry.NewClient(registry.ClientConfig{Addresses: n.cfg.ListAddresses, Timeout: n.cfg.PlatformTimeout})
	if err != nil {
		return fmt.Errorf("platform list: %w", err)
	}
	n.config, err = registry.NewClient(registry.ClientConfig{Addresses: n.cfg.ConfigAddresses, Timeout: n.cfg.PlatformTimeout})
	if err != nil {
		return fmt.Errorf("platform configuration: %w", err)
	}
	return nil
}

func (n *Node) makeCore(started time.Time) {
	n.core = core.New(core.Config{
		Self: model.Instance{
			ID:          n.cfg.Instance,
			Service:     n.cfg.Service,
			DataCentre:  n.cfg.DataCentre,
			PeerAddress: n.ports.peer.Addr().String(),
			Incarnation: model.Incarnation(started.UnixMicro()),
		},
		Regions:         n.cfg.Regions,
		Trusted:         n.cfg.Trusted,
		Seeds:           n.cfg.Seeds,
		LocalDelay:      n.cfg.LocalDelay,
		RemoteDelay:     n.cfg.RemoteDelay,
		Policy:          n.cfg.Policy,
		ProbeAge:        n.cfg.ProbeAge,
		OnBreakerChange: n.workerBreaks,

		FollowsDirectory: n.cfg.Directory != nil,

		Started: started,
		Seed:    uint64(started.UnixNano()),
	})
}

func (n *Node) self() model.Instance { return n.core.Board.Self.Get().Instance }

// CallerAddress returns the caller port's address.
func (n *Node) CallerAddress() string { return n.ports.caller.Addr().String() }

// PeerAddress returns the peer port's address.
func (n *Node) PeerAddress() string { return n.ports.peer.Addr().String() }

// OperatorAddress returns the operators' port's address.
func (n *Node) OperatorAddress() string { return n.ports.operator.Addr().String() }

// Core returns the node's decision core, for tests and reports.
func (n *Node) Core() *core.Node { return n.core }

// sink queues an event for the core; it waits while the queue is full.
func (n *Node) sink(ev control.Event) {
	select {
	case n.events <- ev:
	case <-n.ctx.Done():
	}
}

// hint queues an event that a call shows, and that later calls will show again: a call does
// not wait for the core.
func (n *Node) hint(ev control.Event) {
	select {
	case n.events <- ev:
	default:
		n.hintsDropped.Add(1)
	}
}

// noteHints logs the hints that were dropped.
func (n *Node) noteHints() {
	if dropped := n.hintsDropped.Swap(0); dropped > 0 {
		event.Log(&n.log, event.CallHintsDropped).Int("dropped", int64(dropped)).Send()
	}
}

// Run serves until ctx ends or a part of the node fails, then stops gracefully. The error
// tells which part failed, or that the stop was not graceful.
func (n *Node) Run(ctx context.Context) error {
	n.serve("operator", n.ports.operatorHTTP, n.ports.operator)
	n.serve("peer", n.ports.peerHTTP, n.ports.peer)
	n.serve("caller", n.ports.callerHTTP, n.ports.caller)
	n.startLoop(n.loop)
	n.startLoop(n.ownerTicks)
	n.startLoop(n.watch.run)
	event.Log(&n.log, event.Started).Str("instance", string(n.cfg.Instance)).
		Str("callers", n.CallerAddress()).Str("peers", n.PeerAddress()).Str("operators", n.OperatorAddress()).Send()
	var fault error
	select {
	case <-ctx.Done():
	case fault = <-n.failed:
	case <-n.ctx.Done():
		return ErrKilled
	}
	err := n.stopInTime()
	n.cleanUpInTime()
	event.Log(&n.log, event.Stopped).Send()
	return cmp.Or(fault, n.firstFault(), err)
}

// cleanUp ends whatever still runs; a planned stop logs it as its last step.
func (n *Node) cleanUp() {
	if !n.stopping.Load() {
		n.closeAll()
		return
	}
	n.step("clean-up", n.closeAll)
}

func (n *Node) closeAll() {
	n.startMu.Lock()
	n.cancel()
	n.startMu.Unlock()
	n.ports.callerHTTP.Close()
	n.ports.peerHTTP.Close()
	n.ports.operatorHTTP.Close()
	n.links.Close()
	n.wg.Wait()
	n.executor.Close()
	n.forwarder.Close()
	if n.cfg.Directory != nil {
		n.cfg.Directory.Close()
	}
}
