// Package link carries control messages between nodes over WebSocket (RFC 6455)
// with CBOR. It holds no logic: what opens and closes links is decided by the
// controllers. Queues are bounded; a message that finds its queue full is
// dropped and counted, which the controllers' protocols allow for.
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

// Path is the peer port's path of control links.
const Path = "/v1/link"

// Bounds of a link.
const (
	queueLength  = 256
	dialTimeout  = 3 * time.Second
	writeTimeout = 5 * time.Second
	helloTimeout = 3 * time.Second
	briefIdle    = 30 * time.Second
)

// ErrNoLink says that no link to the peer could be had.
var ErrNoLink = errors.New("no link to peer")

// Sink takes events; it is called from many goroutines and must not block long.
type Sink func(control.Event)

// Config is a manager's fixed setting.
type Config struct {
	// Self returns this node's instance as it is now, for the greeting.
	Self func() model.Instance
	// Sink receives LinkUp, LinkDown and Received.
	Sink Sink
	// OnPanic is told a panic in a goroutine of the manager's.
	OnPanic func(error)
	// TLS, when set, secures links that this node opens.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxAccepted bounds the links that peers opened.
	MaxAccepted int
}

// Counters counts a manager's traffic since its start.
type Counters struct {
	MessagesIn, MessagesOut, BytesIn, BytesOut, Dropped, Unknown, Malformed atomic.Uint64
}

// Manager keeps the open links. Safe for concurrent use.
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

// connection is one open WebSocket.
type connection struct {
	peer     model.Instance
	ws       *websocket.Conn
	queue    chan []byte
	brief    bool
	outgoing bool
	cancel   context.CancelFunc
	lastUse  atomic.Int64
	planned  atomic.Bool
	// unsent counts the messages that are queued or being written.
	unsent atomic.Int64
}

// New returns a manager; Close ends it.
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

// Close ends all links and waits for their goroutines.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	for _, list := range m.links {
		for _, c := range list {
			c.planned.Store(true)
		}
	}
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
	m.client.CloseIdleConnections()
}

// Open opens a peer link; LinkUp or LinkDown follows at the sink. It does not block.
func (m *Manager) Open(peer model.InstanceID, address string) {
	m.goRun(func() {
		if _, err := m.dial(m.ctx, address, false); err != nil {
			m.cfg.Sink(control.LinkDown{Peer: peer, Failed: true})
		}
	})
}

// goRun runs f unless the manager is closed.
func (m *Manager) goRun(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.wg.Add(1)
	m.run(f)
}

// run runs f in a goroutine that wg counts already.
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
		if c.outgoing && !c.brief {
			c.planned.Store(true)
			c.cancel()
		}
	}
}

// Send queues a message on an open link to peer; false when there is none or
// its queue is full. It does not block.
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
			c.lastUse.Store(time.Now().UnixNano())
			return true
		default:
			c.unsent.Add(-1)
		}
	}
	m.Counters.Dropped.Add(1)
	return false
}

// flushInterval is the pace at which Flush looks again.
const flushInterval = 2 * time.Millisecond

// Flush waits until what was queued so far has been written, or ctx ends.
func (m *Manager) Flush(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for m.unsent() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) unsent() int64 {
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

// SendTo queues a message to peer and opens a brief link first when there is
// none. It blocks for the time of dialling at most.
func (m *Manager) SendTo(ctx context.Context, peer model.Instance, msg wire.Message) error {
	if m.has(peer.ID) {
		if m.Send(peer.ID, msg) {
			return nil
		}
	}
	c, err := m.dial(ctx, peer.PeerAddress, true)
	if err != nil {
		return fmt.Errorf("%w %s: %w", ErrNoLink, peer.ID, err)
	}
	if c.peer.ID != peer.ID {
		return fmt.Errorf("%w %s: %s answered there", ErrNoLink, peer.ID, c.peer.ID)
	}
	if !m.Send(peer.ID, msg) {
		return fmt.Errorf("%w %s: queue is full", ErrNoLink, peer.ID)
	}
	return nil
}

func (m *Manager) has(peer model.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links[peer]) > 0
}

// dial opens a WebSocket and starts its pumps.
func (m *Manager) dial(ctx context.Context, address string, brief bool) (*connection, error) {
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
	c, err := m.greet(ctx, ws, brief, true)
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

// Handler serves Path on the peer port.
func (m *Manager) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !m.admit() {
			http.Error(w, "too many links", http.StatusServiceUnavailable)
			return
		}
		ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			m.release()
			return
		}
		ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
		defer cancel()
		c, err := m.greet(ctx, ws, false, false)
		if err != nil || !m.start(c) {
			m.release()
			ws.CloseNow()
		}
	})
}

// admit takes one of the places for accepted links.
func (m *Manager) admit() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.accepted >= m.cfg.MaxAccepted {
		return false
	}
	m.accepted++
	return true
}

func (m *Manager) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted--
}

// greet exchanges Hello messages.
func (m *Manager) greet(ctx context.Context, ws *websocket.Conn, brief, outgoing bool) (*connection, error) {
	ws.SetReadLimit(wire.MaxMessageBytes)
	data, err := wire.Encode(wire.Hello{Instance: m.cfg.Self(), Transient: brief})
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
		return nil, errors.New("first message is no hello")
	}
	return &connection{
		peer:     hello.Instance,
		ws:       ws,
		queue:    make(chan []byte, queueLength),
		brief:    brief || hello.Transient,
		outgoing: outgoing,
	}, nil
}

// start registers c and runs its pumps; false when the manager is closed.
func (m *Manager) start(c *connection) bool {
	ctx, cancel := context.WithCancel(m.ctx)
	c.cancel = cancel
	c.lastUse.Store(time.Now().UnixNano())
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		cancel()
		return false
	}
	m.links[c.peer.ID] = append(m.links[c.peer.ID], c)
	m.wg.Add(2)
	m.mu.Unlock()
	if !c.brief {
		m.cfg.Sink(control.LinkUp{Peer: c.peer, Outgoing: c.outgoing})
	}
	m.run(func() { m.writePump(ctx, c) })
	m.run(func() { m.readPump(ctx, c) })
	return true
}

func (m *Manager) writePump(ctx context.Context, c *connection) {
	defer c.cancel()
	idle := time.NewTicker(briefIdle)
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
			if c.brief && c.outgoing && now.UnixNano()-c.lastUse.Load() > int64(briefIdle) {
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
		c.lastUse.Store(time.Now().UnixNano())
		m.deliver(c, data)
	}
}

// deliver decodes one message; what cannot be read is counted and dropped.
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

// remove forgets c; the last peer link's end is told to the sink.
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
		if !list[i].brief {
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
	if !c.brief && peerLinks == 0 {
		m.cfg.Sink(control.LinkDown{Peer: c.peer.ID, Failed: !c.planned.Load()})
	}
}
