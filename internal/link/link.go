// Package link carries CBOR-encoded control messages between nodes over WebSocket (RFC
// 6455). It contains no policy: the controllers decide which links to open and close.
// Queues are bounded; a message that finds its queue full is dropped and counted, which
// the controllers' protocols tolerate.
package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/task"
	"gypsumstand/internal/wire"
)

// Path is the URL path of control links on the peer port.
const Path = "/v1/link"

// Limits of a link. transientIdleTimeout is how long an outgoing transient link may stay
// unused.
const (
	queueCapacity        = 256
	dialTimeout          = 3 * time.Second
	writeTimeout         = 5 * time.Second
	helloTimeout         = 3 * time.Second
	transientIdleTimeout = 30 * time.Second
)

// ErrNoLink is returned when no link to the peer exists or could be opened.
var ErrNoLink = errors.New("no link to peer")

// Sink receives events. It is called from many goroutines and must not block for long.
type Sink func(control.Event)

// Config holds the fixed settings of a Manager.
type Config struct {
	// Self returns this node's current instance, which is sent in the Hello.
	Self func() model.Instance
	// Sink receives LinkUp, LinkDown and Received.
	Sink Sink
	// OnPanic receives a panic in one of the manager's goroutines as an error.
	OnPanic func(error)
	// TLS, when set, secures the links that this node opens.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxAccepted bounds the links opened by peers.
	MaxAccepted int
}

// Counters counts a manager's traffic since its start, in messages and encoded bytes.
type Counters struct {
	MessagesIn, MessagesOut, BytesIn, BytesOut, Dropped, Unknown, Malformed atomic.Uint64
}

// Manager maintains the open links. It is safe for concurrent use.
type Manager struct {
	cfg      Config
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	Counters Counters

	mu       sync.Mutex
	links    map[model.InstanceID][]*connection
	accepted int
	closed   bool
}

// connection is one open WebSocket. A transient one carries single messages and is not
// reported as a peer link.
type connection struct {
	peer          model.Instance
	ws            *websocket.Conn
	queue         chan []byte
	transient     bool
	outgoing      bool
	cancel        context.CancelFunc
	lastUsed      atomic.Int64
	closedLocally atomic.Bool
	// unsent counts the messages that are queued or being written.
	unsent atomic.Int64
}

// New returns a manager, which must be closed with Close.
func New(cfg Config) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{Proxy: nil, DialContext: cfg.Dial, TLSClientConfig: cfg.TLS, DisableCompression: true}
	return &Manager{
		cfg:    cfg,
		client: &http.Client{Transport: transport},
		ctx:    ctx,
		cancel: cancel,
		links:  map[model.InstanceID][]*connection{},
	}
}

// Close closes all links and waits for their goroutines.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	for _, list := range m.links {
		for _, c := range list {
			c.closedLocally.Store(true)
		}
	}
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
	m.client.CloseIdleConnections()
}

// Open opens a peer link without blocking; the sink then receives LinkUp or LinkDown.
func (m *Manager) Open(peer model.InstanceID, address string) {
	m.runUnlessClosed(func() {
		if _, err := m.dial(m.ctx, address, false); err != nil {
			m.cfg.Sink(control.LinkDown{Peer: peer, Failed: true})
		}
	})
}

// runUnlessClosed runs f in a goroutine unless the manager is closed.
func (m *Manager) runUnlessClosed(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.wg.Add(1)
	m.run(f)
}

// run runs f in a goroutine that wg already counts, and reports its panic.
func (m *Manager) run(f func()) {
	go func() {
		defer m.wg.Done()
		if err := task.Do(f); err != nil {
			m.cfg.OnPanic(err)
		}
	}()
}

// CloseLink closes the peer links that this node opened to peer.
func (m *Manager) CloseLink(peer model.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.links[peer] {
		if c.outgoing && !c.transient {
			c.closedLocally.Store(true)
			c.cancel()
		}
	}
}

// Send queues a message on an open link to peer without blocking. It returns false when
// there is no link or all queues to the peer are full.
func (m *Manager) Send(peer model.InstanceID, msg wire.Message) bool {
	data, err := wire.Encode(msg)
	if err != nil {
		m.Counters.Malformed.Add(1)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.links[peer] {
		c.unsent.Add(1)
		select {
		case c.queue <- data:
			c.lastUsed.Store(time.Now().UnixNano())
			return true
		default:
			c.unsent.Add(-1)
		}
	}
	m.Counters.Dropped.Add(1)
	return false
}

// flushPollInterval is how often Flush checks for unsent messages.
const flushPollInterval = 2 * time.Millisecond

// Flush waits until all queued messages have been written, or ctx ends.
func (m *Manager) Flush(ctx context.Context) {
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for m.unsentMessages() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) unsentMessages() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := int64(0)
	for _, list := range m.links {
		for _, c := range list {
			total += c.unsent.Load()
		}
	}
	return total
}

// SendTo queues a message to peer and opens a transient link first if none exists. It
// blocks at most for dialTimeout.
func (m *Manager) SendTo(ctx context.Context, peer model.Instance, msg wire.Message) error {
	if m.hasLink(peer.ID) {
		if m.Send(peer.ID, msg) {
			return nil
		}
	}
	c, err := m.dial(ctx, peer.PeerAddress, true)
	if err != nil {
		return fmt.Errorf("%w %s: %w", ErrNoLink, peer.ID, err)
	}
	if c.peer.ID != peer.ID {
		return fmt.Errorf("%w %s: instance %s answered at its address", ErrNoLink, peer.ID, c.peer.ID)
	}
	if !m.Send(peer.ID, msg) {
		return fmt.Errorf("%w %s: queue is full", ErrNoLink, peer.ID)
	}
	return nil
}

func (m *Manager) hasLink(peer model.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links[peer]) > 0
}
