package link

import (
	"context"
	"errors"
	"time"

	"github.com/coder/websocket"

	"gypsumstand/internal/control"
	"gypsumstand/internal/wire"
)

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
