package link

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"gypsumstand/internal/control"
	"gypsumstand/internal/wire"
)

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
