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

// dial opens a WebSocket and starts its read and write goroutines.
func (m *Manager) dial(ctx context.Context, address string, transient bool) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws"
	if m.cfg.TLS != nil {
		scheme = "wss"
	}
	opts := &websocket.DialOptions{HTTPClient: m.client, CompressionMode: websocket.CompressionDisabled}
	ws, _, err := websocket.Dial(ctx, scheme+"://"+address+Path, opts)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	c, err := m.handshake(ctx, ws, transient, true)
	if err != nil {
		ws.CloseNow()
		return nil, err
	}
	if !m.start(c) {
		ws.CloseNow()
		return nil, ErrNoLink
	}
	return c, nil
}

// Handler accepts links; it serves Path on the peer port.
func (m *Manager) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !m.reserveAccepted() {
			http.Error(w, "too many links", http.StatusServiceUnavailable)
			return
		}
		ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			m.releaseAccepted()
			return
		}
		ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
		defer cancel()
		c, err := m.handshake(ctx, ws, false, false)
		if err != nil || !m.start(c) {
			m.releaseAccepted()
			ws.CloseNow()
		}
	})
}

// reserveAccepted reserves one of the MaxAccepted links.
func (m *Manager) reserveAccepted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.accepted >= m.cfg.MaxAccepted {
		return false
	}
	m.accepted++
	return true
}

func (m *Manager) releaseAccepted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted--
}

// handshake exchanges Hello messages.
func (m *Manager) handshake(ctx context.Context, ws *websocket.Conn, transient, outgoing bool) (*connection, error) {
	ws.SetReadLimit(wire.MaxMessageBytes)
	data, err := wire.Encode(wire.Hello{Instance: m.cfg.Self(), Transient: transient})
	if err != nil {
		return nil, err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return nil, fmt.Errorf("send hello: %w", err)
	}
	_, in, err := ws.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	msg, err := wire.Decode(in)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	hello, ok := msg.(wire.Hello)
	if !ok || hello.Instance.ID == "" {
		return nil, errors.New("first message is not a valid Hello")
	}
	return &connection{
		peer:      hello.Instance,
		ws:        ws,
		queue:     make(chan []byte, queueCapacity),
		transient: transient || hello.Transient,
		outgoing:  outgoing,
	}, nil
}

// start registers c and starts its goroutines; false when the manager is closed.
func (m *Manager) start(c *connection) bool {
	ctx, cancel := context.WithCancel(m.ctx)
	c.cancel = cancel
	c.lastUsed.Store(time.Now().UnixNano())
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		cancel()
		return false
	}
	m.links[c.peer.ID] = append(m.links[c.peer.ID], c)
	m.wg.Add(2)
	m.mu.Unlock()
	if !c.transient {
		m.cfg.Sink(control.LinkUp{Peer: c.peer, Outgoing: c.outgoing})
	}
	m.run(func() { m.writePump(ctx, c) })
	m.run(func() { m.readPump(ctx, c) })
	return true
}

func (m *Manager) writePump(ctx context.Context, c *connection) {
	defer c.cancel()
	idle := time.NewTicker(transientIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-c.queue:
			err := m.write(ctx, c, data)
			c.unsent.Add(-1)
			if err != nil {
				return
			}
		case now := <-idle.C:
			if c.transient && c.outgoing && now.UnixNano()-c.lastUsed.Load() > int64(transientIdleTimeout) {
				return
			}
		}
	}
}

func (m *Manager) write(ctx context.Context, c *connection, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return err
	}
	m.Counters.MessagesOut.Add(1)
	m.Counters.BytesOut.Add(uint64(len(data)))
	return nil
}

func (m *Manager) readPump(ctx context.Context, c *connection) {
	defer m.remove(c)
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return
		}
		m.Counters.MessagesIn.Add(1)
		m.Counters.BytesIn.Add(uint64(len(data)))
		c.lastUsed.Store(time.Now().UnixNano())
		m.deliver(c, data)
	}
}

// deliver decodes one message; an undecodable one is counted and dropped.
func (m *Manager) deliver(c *connection, data []byte) {
	msg, err := wire.Decode(data)
	switch {
	case errors.Is(err, wire.ErrUnknownKind), errors.Is(err, wire.ErrUnknownVersion):
		m.Counters.Unknown.Add(1)
	case err != nil:
		m.Counters.Malformed.Add(1)
	default:
		m.cfg.Sink(control.Received{From: c.peer.ID, Message: msg})
	}
}

// remove unregisters c. When it was the last peer link to its peer, the sink receives
// LinkDown.
func (m *Manager) remove(c *connection) {
	c.cancel()
	c.ws.CloseNow()
	m.mu.Lock()
	list := m.links[c.peer.ID]
	peerLinks := 0
	for i := len(list) - 1; i >= 0; i-- {
		if list[i] == c {
			list = append(list[:i], list[i+1:]...)
			continue
		}
		if !list[i].transient {
			peerLinks++
		}
	}
	if len(list) == 0 {
		delete(m.links, c.peer.ID)
	} else {
		m.links[c.peer.ID] = list
	}
	if !c.outgoing {
		m.accepted--
	}
	m.mu.Unlock()
	if !c.transient && peerLinks == 0 {
		m.cfg.Sink(control.LinkDown{Peer: c.peer.ID, Failed: !c.closedLocally.Load()})
	}
}
