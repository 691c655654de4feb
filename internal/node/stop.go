package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
)

// ErrKilled says that Kill ended the node.
var ErrKilled = errors.New("the node was killed")

// ErrCutOff says that a stop's bound ended with requests in flight.
var ErrCutOff = errors.New("stop timeout ended with requests in flight")

// answerTime is how long before the end of a stop the calls under way are ended, so
// that their callers are told: some times what a slow machine needs for all of them.
const answerTime = 300 * time.Millisecond

// stop is the graceful stop: tell everyone, let their views catch up while
// callers are still served elsewhere, then finish what is in flight.
func (n *Node) stop() error {
	event.Log(&n.log, event.Stopping).Send()
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.StopTimeout)
	defer cancel()
	n.stopBound.Set(time.Now().Add(n.cfg.StopTimeout - answerTime))
	n.stopping.Store(true)
	n.sayLeaving(ctx)
	err := n.ports.callerHTTP.Shutdown(ctx)
	if err == nil {
		err = n.ports.peerHTTP.Shutdown(ctx)
	}
	if err != nil {
		event.Log(&n.log, event.DrainTimeout).Err(err).Send()
		return fmt.Errorf("%w: %w", ErrCutOff, err)
	}
	return nil
}

// sayLeaving tells callers and peers that this node leaves, and waits out their views.
// Peers are told first where they pass the word on. Where they learn it from refusals
// only, the worker serves them as long as callers come, and refuses for a moment
// before the port closes: the worker itself goes on, and without its node it is lost
// to everybody.
func (n *Node) sayLeaving(ctx context.Context) {
	if n.cfg.Directory == nil {
		n.tellLeaving(ctx)
		pause.For(n.ctx, n.cfg.LeaveGrace)
		return
	}
	pause.For(n.ctx, n.cfg.LeaveGrace)
	n.tellLeaving(ctx)
	pause.For(n.ctx, refusingTime)
}

// refusingTime is how long a leaving owner refuses before its port closes: entries
// send it some attempts a second each, and one refusal keeps them away for 2 s.
const refusingTime = 400 * time.Millisecond

// leaving tells whether this node is on its way out.
func (n *Node) leaving() bool { return n.stopping.Load() || n.self().State >= model.StateLeaving }

// tellPoll is the pace of waiting for the core to take the word of leaving.
const tellPoll = 2 * time.Millisecond

// tellLeaving returns once the peers have been sent the word of leaving and the
// next homes what this node remembers, or when ctx or the node ends.
func (n *Node) tellLeaving(ctx context.Context) {
	n.sink(control.SelfChanged{State: model.StateLeaving})
	for !n.leavingTold.Load() || n.directs.Load() > 0 {
		pause.For(ctx, tellPoll)
		if ctx.Err() != nil || n.ctx.Err() != nil {
			return
		}
	}
	n.links.Flush(ctx)
}

// Kill ends the node at once, as a crash would; for tests.
func (n *Node) Kill() { n.cleanUp() }
