package directory

import (
	"errors"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// errEarlierEra is the failure of a read that the directory answered before it was restored.
var errEarlierEra = errors.New("the directory has been restored since")

// startRead starts a read of the directory.
func (c *Controller) startRead(now time.Time, cause ReadCause) {
	c.startReadAfter(now, cause, c.readAfter())
}

func (c *Controller) startReadAfter(now time.Time, cause ReadCause, after model.Revision) {
	c.readStarted = now
	c.readsInProgress++
	c.countRead(now, cause)
	c.emit(control.ReadDirectory{After: after})
}

// countRead counts and records a read of the directory.
func (c *Controller) countRead(now time.Time, cause ReadCause) {
	c.readCounts[cause]++
	c.record(event.DirectoryReading, string(cause), c.describeView(now), nil)
}

// handleRead applies the result of an own read.
func (c *Controller) handleRead(now time.Time, r control.DirectoryRead) {
	c.readsInProgress = max(c.readsInProgress-1, 0)
	if r.Era < c.revision.Era {
		// Peers told of a restore while this read was under way.
		c.recordReadFailure(now, errEarlierEra)
		return
	}
	if c.lastReadFailed || c.confirmed.IsZero() {
		c.record(event.DirectoryRecovered, "", sinceText(now, c.confirmed), nil)
	}
	c.lastReadFailed, c.readFailures, c.failedAt = false, 0, time.Time{}
	c.consecutiveReads++
	c.readStarted = time.Time{}
	start := now.Add(-r.ReadDuration)
	c.timer.ReadSucceeded(now, start)
	if r.Restored {
		c.scheduleFullRead(now, &r)
		return
	}
	c.detectRecovery(now)
	if r.Full && len(r.Listed) == 0 && c.confirmed.IsZero() {
		// No worker has listed itself yet.
		c.timer.Postpone(now, emptyRetryDelay)
	}
	c.apply(now, &r, "")
	c.peers.resetNewest(c.revision)
	c.confirm(start)
}

func (c *Controller) handleReadFailure(now time.Time, err error) {
	c.readsInProgress = max(c.readsInProgress-1, 0)
	c.recordReadFailure(now, err)
}

func (c *Controller) recordReadFailure(now time.Time, err error) {
	if !c.lastReadFailed {
		c.record(event.DirectoryUnreachable, "", sinceText(now, c.confirmed), err)
	}
	c.lastReadFailed = true
	c.readFailures++
	start := c.readStarted
	if start.IsZero() {
		start = now
	}
	c.readStarted = time.Time{}
	c.timer.ReadFailed(now, start)
	c.publishFailed(now)
}

// expireFailures resets old read failures, so that a node that peers have kept fresh since
// then takes its turn like the others.
func (c *Controller) expireFailures(now time.Time) {
	if c.readFailures > 0 && now.Sub(c.failedAt) > blackboard.ReadFailureMemory {
		c.readFailures, c.failedAt = 0, time.Time{}
		c.timer.ResetFailures()
	}
}

// sinceText formats the time since t.
func sinceText(now, t time.Time) string {
	if t.IsZero() {
		return "never answered"
	}
	return now.Sub(t).Round(time.Millisecond).String()
}
