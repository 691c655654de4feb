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

// ErrKilled is returned by Run after Kill.
var ErrKilled = errors.New("node killed")

// ErrCutOff is returned if the time limit of a stop passed with requests in flight.
var ErrCutOff = errors.New("stop timed out with requests in flight")

// responseReserve is how long before the end of a stop the remaining calls are ended, so
// that their callers get a response: several times what a slow machine needs for all of
// them.
const responseReserve = 300 * time.Millisecond

// drainReserve is the part of a stop reserved for completing the requests in flight,
// however long informing the peers takes; most callers wait no longer for a response. A
// short stop reserves half of its time.
const drainReserve = 1500 * time.Millisecond

// stop stops gracefully: it announces that the node leaves, gives the views of others
// time to catch up while callers are still served, then drains the requests in flight.
// The announcement has its own time limit, since a peer that does not respond may delay
// it indefinitely.
func (n *Node) stop() error {
	n.stopStarted.Store(time.Now().UnixNano())
	event.Log(&n.log, event.Stopping).
		Int("stop_timeout_ms", n.cfg.StopTimeout.Milliseconds()).Int("leave_grace_ms", n.cfg.LeaveGrace.Milliseconds()).Send()
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.StopTimeout)
	defer cancel()
	n.stopBound.Set(time.Now().Add(n.cfg.StopTimeout - responseReserve))
	n.stopping.Store(true)
	leaving, end := withReserve(ctx, drainReserve)
	defer context.AfterFunc(n.ctx, end)()
	// The requests in flight are drained even if the announcement panics.
	if err := task.Do(func() { n.announceLeaving(leaving) }); err != nil {
		n.fail(err)
	}
	end()
	var callers, peers error
	n.runStep("caller drain", func() { callers = drain(ctx, n.ports.callerHTTP, lateDrainTime, n.stopBound.InFlight) })
	n.runStep("peer drain", func() { peers = drain(ctx, n.ports.peerHTTP, 0, n.executor.InFlight) })
	if err := errors.Join(callers, peers); err != nil {
		n.addInFlight(event.Log(&n.log, event.DrainTimeout)).Err(err).Send()
		return fmt.Errorf("%w: %w", ErrCutOff, err)
	}
	return nil
}

// lateDrainTime is how long a drain at its time limit still waits for callers to receive
// the outcomes of their calls, which have been ended by then: a process that was
// suspended across the limit resumes with all of them in flight. It is half of the margin
// that deploy/settings.toml leaves before the process is killed.
const lateDrainTime = 250 * time.Millisecond

// drain closes a server's port and waits for the requests in flight there until ctx ends,
// and then for at most extra longer. net/http also waits for connections that have
// carried no request yet; closing those cuts off no request.
func drain(ctx context.Context, s *http.Server, extra time.Duration, inFlight func() int64) error {
	err := s.Shutdown(ctx)
	if err == nil {
		return nil
	}
	last, cancel := context.WithTimeout(context.Background(), extra)
	defer cancel()
	if s.Shutdown(last) == nil || inFlight() == 0 {
		return nil
	}
	return err
}

// announceLeaving announces to callers and peers that this node leaves, and waits for
// their views to catch up, until ctx ends. Without a directory, peers pass the announcement
// on and are notified before the leave grace. With a directory, other entry nodes learn it
// from refusals only: the owner accepts their attempts during the leave grace and refuses
// them for refuseTime before the port closes. The worker itself keeps running, but is
// reachable through this node only. The first step always leaves time for the following
// ones.
func (n *Node) announceLeaving(ctx context.Context) {
	if n.cfg.Directory == nil {
		first, end := withReserve(ctx, n.cfg.LeaveGrace)
		defer end()
		n.runStep("telling", func() { n.notifyPeers(first) })
		n.runStep("leave grace", func() { pause.For(ctx, n.cfg.LeaveGrace) })
		return
	}
	first, end := withReserve(ctx, directTimeout)
	defer end()
	n.runStep("leave grace", func() { pause.For(first, n.cfg.LeaveGrace) })
	n.runStep("telling", func() { n.notifyPeers(ctx) })
	n.runStep("refusing", func() { pause.For(ctx, refuseTime) })
}

// withReserve returns a context that ends before ctx by the given reserve, but keeps at
// least half of the remaining time.
func withReserve(ctx context.Context, reserve time.Duration) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	return context.WithTimeout(ctx, max(left-reserve, left/2))
}

// refuseTime is how long a leaving owner refuses attempts before its port closes. Each
// entry node sends it some attempts a second, and one refusal keeps an entry node away
// for 2 s.
const refuseTime = 400 * time.Millisecond

// leaving reports whether this node is leaving.
func (n *Node) leaving() bool { return n.stopping.Load() || n.self().State >= model.StateLeaving }

// announcePoll is the interval of checks whether the core has handled "leaving".
const announcePoll = 2 * time.Millisecond

// announceReserve is the part of the time of notifyPeers that is reserved for sending the
// announcement after the handover of request ids.
const announceReserve = 200 * time.Millisecond

// handoverEnd returns when the handover of request ids must end.
func handoverEnd(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	return deadline.Add(-min(announceReserve, left/2))
}

// notifyPeers returns once the next home nodes have acknowledged the records of request ids
// and the peers have been sent the announcement, or when ctx or the node ends.
func (n *Node) notifyPeers(ctx context.Context) {
	select {
	case n.events <- control.SelfStateChanged{State: model.StateLeaving, HandoverUntil: handoverEnd(ctx)}:
	case <-ctx.Done():
		return
	}
	for !n.leavingHandled.Load() || n.directsInFlight.Load() > 0 {
		if pause.For(ctx, announcePoll) != nil {
			return
		}
	}
	n.links.Flush(ctx)
}

// runStep executes one step of a planned stop and logs it with the requests in flight at
// its end, so that the step in which a caller was cut off can be found.
func (n *Node) runStep(name string, do func()) {
	began := time.Now()
	do()
	took := time.Since(began)
	sinceStop := began.Sub(time.Unix(0, n.stopStarted.Load()))
	// A stop continues even if logging panics.
	if err := task.Do(func() {
		n.addInFlight(event.Log(&n.log, event.StopStepEnded)).Str("step", name).
			Int("began_ms", sinceStop.Milliseconds()).Int("milliseconds", took.Milliseconds()).Send()
	}); err != nil {
		n.fail(err)
	}
}

// addInFlight adds the numbers of requests that the stop would cut off now.
func (n *Node) addInFlight(line *event.Line) *event.Line {
	return line.Int("callers_in_hand", n.stopBound.InFlight()).Int("attempts_in_hand", n.executor.InFlight())
}

// Kill ends the node at once, like a crash; for tests.
func (n *Node) Kill() { n.cleanUp() }

// retryMargin is the minimum time between a caller's retry and the earliest closing of the
// port: two round trips, and a machine that is suspended for a tenth of a second.
const retryMargin = 300 * time.Millisecond

// limitRetryAfter limits a Retry-After while this node is stopping, so that the retry
// arrives before the port closes at the end of the leave grace. If that is not possible,
// it returns the value unchanged.
func (n *Node) limitRetryAfter(after time.Duration) time.Duration {
	if !n.stopping.Load() {
		return after
	}
	closes := time.Unix(0, n.stopStarted.Load()).Add(n.cfg.LeaveGrace)
	if left := time.Until(closes) - retryMargin; left > 0 {
		return min(after, left)
	}
	return after
}
