package node

import (
	"context"
	"sync"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/server"
	"gypsumstand/internal/wire"
)

// settleTimeout bounds one question to an owner; the call asks again.
const settleTimeout = 500 * time.Millisecond

// notifyTimeout bounds telling a request's home how it ended.
const notifyTimeout = 250 * time.Millisecond

// settler asks owners over control links. It implements server.Settler.
type settler struct {
	node    *Node
	mu      sync.Mutex
	waiters map[model.AttemptID]chan wire.ResolveReply
}

var _ server.OutcomeResolver = (*settler)(nil)

func newSettler(n *Node) *settler {
	return &settler{node: n, waiters: map[model.AttemptID]chan wire.ResolveReply{}}
}

// Resolve implements server.Settler.
func (s *settler) Resolve(ctx context.Context, to model.Instance, q wire.Resolve) (wire.ResolveReply, error) {
	if to.ID == s.node.cfg.Instance {
		reply, ds := s.node.core.Owner.Resolve(time.Now(), q)
		s.node.executor.Deliver(ds)
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	ch := make(chan wire.ResolveReply, 1)
	s.add(q.Attempt, ch)
	defer s.remove(q.Attempt)
	if err := s.node.links.SendTo(ctx, to, q); err != nil {
		return wire.ResolveReply{}, err
	}
	select {
	case r := <-ch:
		return r, nil
	case <-ctx.Done():
		return wire.ResolveReply{}, ctx.Err()
	case <-s.node.ctx.Done():
		return wire.ResolveReply{}, errStopped
	}
}

func (s *settler) add(id model.AttemptID, ch chan wire.ResolveReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[id] = ch
}

func (s *settler) remove(id model.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

// answered hands a reply to the call that asked; a late one is dropped.
func (s *settler) answered(r wire.ResolveReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := s.waiters[r.Attempt]
	delete(s.waiters, r.Attempt)
	if ch != nil {
		ch <- r
	}
}

// Notify implements server.Settler. It tries once; a home that does not hear
// keeps the request's id until its memory ends, which is the safe side.
func (s *settler) Notify(to model.Instance, r wire.KeyResult) {
	if to.ID == s.node.cfg.Instance {
		s.node.core.Owner.FinishDelegated(time.Now(), r)
		return
	}
	if r.Outcome == model.OutcomeNotRun {
		s.notify(to, r)
		return
	}
	s.node.start(func() { s.notify(to, r) })
}

func (s *settler) notify(to model.Instance, r wire.KeyResult) {
	ctx, cancel := context.WithTimeout(s.node.ctx, notifyTimeout)
	defer cancel()
	// No receiver for the error: see Notify.
	_ = s.node.links.SendTo(ctx, to, r)
}
