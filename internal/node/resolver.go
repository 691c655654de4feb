package node

import (
	"context"
	"sync"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/server"
	"gypsumstand/internal/wire"
)

// resolveTimeout bounds one request to an owner; the call retries.
const resolveTimeout = 500 * time.Millisecond

// notifyTimeout bounds notifying a home node of a request's outcome.
const notifyTimeout = 250 * time.Millisecond

// outcomeResolver exchanges messages with owners over control links. It implements
// server.OutcomeResolver.
type outcomeResolver struct {
	node    *Node
	mu      sync.Mutex
	waiters map[model.AttemptID]chan wire.ResolveReply
}

var _ server.OutcomeResolver = (*outcomeResolver)(nil)

func newOutcomeResolver(n *Node) *outcomeResolver {
	return &outcomeResolver{node: n, waiters: map[model.AttemptID]chan wire.ResolveReply{}}
}

// Resolve implements server.OutcomeResolver.
func (s *outcomeResolver) Resolve(ctx context.Context, to model.Instance, q wire.Resolve) (wire.ResolveReply, error) {
	if to.ID == s.node.cfg.Instance {
		reply, ds := s.node.core.Owner.Resolve(time.Now(), q)
		s.node.executor.Deliver(ds)
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
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

func (s *outcomeResolver) add(id model.AttemptID, ch chan wire.ResolveReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[id] = ch
}

func (s *outcomeResolver) remove(id model.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

// deliver passes a reply to the call that waits for it; a late one is dropped.
func (s *outcomeResolver) deliver(r wire.ResolveReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := s.waiters[r.Attempt]
	delete(s.waiters, r.Attempt)
	if ch != nil {
		ch <- r
	}
}

// Notify implements server.OutcomeResolver. It tries once: a home node that does not
// receive the notification keeps the request's id until its record expires, which is
// safe.
func (s *outcomeResolver) Notify(to model.Instance, r wire.KeyResult) {
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

func (s *outcomeResolver) notify(to model.Instance, r wire.KeyResult) {
	ctx, cancel := context.WithTimeout(s.node.ctx, notifyTimeout)
	defer cancel()
	// The error is ignored; see Notify.
	_ = s.node.links.SendTo(ctx, to, r)
}
