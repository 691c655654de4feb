package node

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/suspension"
)

// moment is a reading of the monotonic clock, with the total time that the machine had
// been suspended until then.
type moment struct {
	at    time.Time
	slept suspension.Total
}

// clock returns the current moment. If the system does not report suspensions, none are
// counted; New has logged that.
func (n *Node) clock() moment {
	slept, err := suspension.Now()
	if err != nil {
		return moment{at: time.Now()}
	}
	return moment{at: time.Now(), slept: slept}
}

// elapsed returns the time since a moment, including suspensions.
func (n *Node) elapsed(since moment) time.Duration {
	now := n.clock()
	return now.at.Sub(since.at) + now.slept.Since(since.slept)
}

// checkSuspension informs the core if the machine was suspended since the loop's last
// moment.
func (n *Node) checkSuspension(last, now moment) {
	d := now.slept.Since(last.slept)
	if d == 0 {
		return
	}
	event.Log(&n.log, event.Suspended).Int("milliseconds", d.Milliseconds()).Send()
	n.apply(n.core.Handle(now.at, control.Suspended{For: d}))
}
