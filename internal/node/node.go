// Package node runs one node: it opens the ports, feeds events to the core, executes the
// core's actions, and stops gracefully. New creates a node; Run serves until its context
// ends, then drains and cleans up.
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

	"gypsumstand/internal/control"
	"gypsumstand/internal/core"
	"gypsumstand/internal/event"
	"gypsumstand/internal/link"
	"gypsumstand/internal/metrics"
	"gypsumstand/internal/model"
	"gypsumstand/internal/registry"
	"gypsumstand/internal/server"
	"gypsumstand/internal/suspension"
)

// Limits that are not settings.
const (
	maxAcceptedLinks = 64
	// Connections beyond these limits wait to be accepted until one ends; idle ones are
	// closed by timeouts.
	maxCallerConnections   = 8192
	maxPeerConnections     = 8192
	maxOperatorConnections = 64
	eventQueue             = 1024
	readHeaderTimeout      = 5 * time.Second
)

// Node is a running node.
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
	resolver  *outcomeResolver
	// leavingHandled is set once the core has handled "leaving" and its resulting actions
	// have been started.
	leavingHandled atomic.Bool
	// leaveBegun is set once the core was given "leaving"; only the core's loop uses it.
	leaveBegun bool
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool
	// stopStarted is when the stop began, in Unix nanoseconds.
	stopStarted atomic.Int64
	// directsInFlight counts the direct messages being sent.
	directsInFlight atomic.Int64
	// stopBound ends calls before a planned stop does.
	stopBound         *server.StopBound
	watch             *workerWatch
	events            chan control.Event
	unreachableSignal server.UnreachableSignal
	// configCopiesReceived and configCopiesSent count the copies of the directory's
	// configuration that this node received and that it sent to peers.
	configCopiesReceived, configCopiesSent atomic.Uint64
	// configReadCancel ends the latest read of the directory's configuration; nil before the
	// first. Only the loop's goroutine uses it.
	configReadCancel context.CancelFunc
	// suspectUpdatesFailed counts the updates on suspect requests that did not reach a
	// peer.
	suspectUpdatesFailed atomic.Uint64
	// hintsDropped counts the hints that were dropped because the core's queue was full,
	// since the last log line about them.
	hintsDropped atomic.Uint64
	// unreachableOffset is where the last selection by unreachableOwners started, modulo
	// the number of unreachable owners.
	unreachableOffset atomic.Uint64
	calls             callFilter

	ports  ports
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// startMu prevents start from adding a goroutine during the final wait.
	startMu sync.Mutex
	// failed holds the first fault of a component until Run receives it; faults counts
	// all.
	failed chan error
	faults atomic.Int64
}

// ports holds the three listeners and their servers.
type ports struct {
	caller, peer, operator             net.Listener
	callerHTTP, peerHTTP, operatorHTTP *http.Server
}

// New opens the ports and creates a node. The caller must call Run.
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
	if err := n.makeComponents(); err != nil {
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
		return newLimitedListener(retryingListener{l}, connections)
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

func (n *Node) self() model.Instance { return n.core.Board.Self.Get().Instance }

// CallerAddress returns the caller port's address.
func (n *Node) CallerAddress() string { return n.ports.caller.Addr().String() }

// PeerAddress returns the peer port's address.
func (n *Node) PeerAddress() string { return n.ports.peer.Addr().String() }

// OperatorAddress returns the operators' port's address.
func (n *Node) OperatorAddress() string { return n.ports.operator.Addr().String() }

// Core returns the node's decision core, for tests and reports.
func (n *Node) Core() *core.Node { return n.core }

// sink queues an event for the core; it blocks while the queue is full.
func (n *Node) sink(ev control.Event) {
	select {
	case n.events <- ev:
	case <-n.ctx.Done():
	}
}

// hint queues an event that a call observed and that later calls will observe again. It
// drops the event if the queue is full, so that no call waits for the core.
func (n *Node) hint(ev control.Event) {
	select {
	case n.events <- ev:
	default:
		n.hintsDropped.Add(1)
	}
}

// logDroppedHints logs the number of dropped hints.
func (n *Node) logDroppedHints() {
	if dropped := n.hintsDropped.Swap(0); dropped > 0 {
		event.Log(&n.log, event.CallHintsDropped).Int("dropped", int64(dropped)).Send()
	}
}

// Run serves until ctx ends or a component of the node fails, then stops gracefully. The
// error is the component's failure, or the reason why the stop was not graceful.
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
	err := n.stopWithTimeout()
	n.cleanUpWithTimeout()
	event.Log(&n.log, event.Stopped).Send()
	return cmp.Or(fault, n.firstFault(), err)
}

// cleanUp ends everything that still runs; a planned stop logs it as its last step.
func (n *Node) cleanUp() {
	if !n.stopping.Load() {
		n.closeAll()
		return
	}
	n.runStep("clean-up", n.closeAll)
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
