package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
	"gypsumstand/internal/task"
)

// ErrKilled says that Kill ended the node.
var ErrKilled = errors.New("the node was killed")

// ErrCutOff says that a stop's bound ended with requests in flight.
var ErrCutOff = errors.New("stop timeout ended with requests in flight")

// answerTime is how long before the end of a stop the calls under way are ended, so
// that their callers are told: some times what a slow machine needs for all of them.
const answerTime = 300 * time.Millisecond

// drainTime is what a stop keeps for finishing what is in flight, however long telling
// the peers takes: most callers wait no longer for an answer. A short stop keeps a half.
const drainTime = 1500 * time.Millisecond

// stop is the graceful stop: tell everyone, let their views catch up while
// callers are still served elsewhere, then finish what is in flight. The telling has a
// bound of its own, since a peer that stands still may hold it for as long as it likes.
func (n *Node) stop() error {
	n.stopBegan.Store(time.Now().UnixNano())
	event.Log(&n.log, event.Stopping).
		Int("stop_timeout_ms", n.cfg.StopTimeout.Milliseconds()).Int("leave_grace_ms", n.cfg.LeaveGrace.Milliseconds()).Send()
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.StopTimeout)
	defer cancel()
	n.stopBound.Set(time.Now().Add(n.cfg.StopTimeout - answerTime))
	n.stopping.Store(true)
	leaving, end := keeping(ctx, drainTime)
	defer context.AfterFunc(n.ctx, end)()
	// Whatever panics in the telling, what is in hand is finished.
	if err := task.Do(func() { n.sayLeaving(leaving) }); err != nil {
		n.fail(err)
	}
	end()
	var callers, peers error
	n.step("caller drain", func() { callers = drain(ctx, n.ports.callerHTTP, toldTime, n.stopBound.InFlight) })
	n.step("peer drain", func() { peers = drain(ctx, n.ports.peerHTTP, 0, n.executor.InFlight) })
	if err := errors.Join(callers, peers); err != nil {
		n.inHand(event.Log(&n.log, event.DrainTimeout)).Err(err).Send()
		return fmt.Errorf("%w: %w", ErrCutOff, err)
	}
	return nil
}

// toldTime is how long a drain that has come to its bound still waits for callers to be
// told what became of their calls, which have been ended by then: a process that stood
// still over the bound wakes with all of them in hand. It is half of the margin that
// deploy/settings.toml leaves before the process is killed.
const toldTime = 250 * time.Millisecond

// drain closes a server's port and waits until what is in hand there has ended, by ctx's
// end and the time after it. net/http also waits for connections that have carried no
// request yet; closing those cuts nobody off.
func drain(ctx context.Context, s *http.Server, after time.Duration, inHand func() int64) error {
	err := s.Shutdown(ctx)
	if err == nil {
		return nil
	}
	last, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	if s.Shutdown(last) == nil || inHand() == 0 {
		return nil
	}
	return err
}

// sayLeaving tells callers and peers that this node leaves, and waits out their views,
// until ctx ends.
// Peers are told first where they pass the word on. Where they learn it from refusals
// only, the worker serves them as long as callers come, and refuses for a moment
// before the port closes: the worker itself goes on, and without its node it is lost
// to everybody. Whatever comes first leaves time for what follows.
func (n *Node) sayLeaving(ctx context.Context) {
	if n.cfg.Directory == nil {
		first, end := keeping(ctx, n.cfg.LeaveGrace)
		defer end()
		n.step("telling", func() { n.tellLeaving(first) })
		n.step("leave grace", func() { pause.For(ctx, n.cfg.LeaveGrace) })
		return
	}
	first, end := keeping(ctx, directTimeout)
	defer end()
	n.step("leave grace", func() { pause.For(first, n.cfg.LeaveGrace) })
	n.step("telling", func() { n.tellLeaving(ctx) })
	n.step("refusing", func() { pause.For(ctx, refusingTime) })
}

// keeping returns a context that ends before ctx by the time to keep, but has half of
// what is left at least.
func keeping(ctx context.Context, keep time.Duration) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	return context.WithTimeout(ctx, max(left-keep, left/2))
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
	select {
	case n.events <- control.SelfStateChanged{State: model.StateLeaving}:
	case <-ctx.Done():
		return
	}
	for !n.leavingTold.Load() || n.directs.Load() > 0 {
		if pause.For(ctx, tellPoll) != nil {
			return
		}
	}
	n.links.Flush(ctx)
}

// step carries out one step of a planned stop and logs it: whoever looks for a caller that
// was cut off finds which step was under way, and what was in hand at its end.
func (n *Node) step(name string, do func()) {
	began := time.Now()
	do()
	took := time.Since(began)
	sinceStop := began.Sub(time.Unix(0, n.stopBegan.Load()))
	// A stop goes on beside a log that panics.
	if err := task.Do(func() {
		n.inHand(event.Log(&n.log, event.StopStepEnded)).Str("step", name).
			Int("began_ms", sinceStop.Milliseconds()).Int("milliseconds", took.Milliseconds()).Send()
	}); err != nil {
		n.fail(err)
	}
}

// inHand adds what a stop would cut off now.
func (n *Node) inHand(line *event.Line) *event.Line {
	return line.Int("callers_in_hand", n.stopBound.InFlight()).Int("attempts_in_hand", n.executor.InFlight())
}

// Kill ends the node at once, as a crash would; for tests.
func (n *Node) Kill() { n.cleanUp() }

// returnMargin is how long before its port may close a caller is told to come back at the
// latest: two ways there and back, and a machine that stands still for a tenth of a second.
const returnMargin = 300 * time.Millisecond

// returns changes advice to come back so that the caller still finds this node, which is about
// to stop: its port closes once the leave grace is over. Later advice is left as it is when
// that cannot be.
func (n *Node) returns(after time.Duration) time.Duration {
	if !n.stopping.Load() {
		return after
	}
	closes := time.Unix(0, n.stopBegan.Load()).Add(n.cfg.LeaveGrace)
	if left := time.Until(closes) - returnMargin; left > 0 {
		return min(after, left)
	}
	return after
}
