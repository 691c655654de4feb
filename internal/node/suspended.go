package node

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/suspension"
)

// moment is a time by the steady clock, and for how long the machine had been suspended
// until then.
type moment struct {
	at    time.Time
	slept suspension.Total
}

// clock returns this moment. Where the system does not tell, no suspension is known of; New
// has logged that.
func (n *Node) clock() moment {
	slept, err := suspension.Now()
	if err != nil {
		return moment{at: time.Now()}
	}
	return moment{at: time.Now(), slept: slept}
}

// elapsed returns the time since a moment, suspensions included.
func (n *Node) elapsed(since moment) time.Duration {
	now := n.clock()
	return now.at.Sub(since.at) + now.slept.Since(since.slept)
}

// noteSuspension tells the core when the machine was suspended since the loop's last moment.
func (n *Node) noteSuspension(last, now moment) {
	d := now.slept.Since(last.slept)
	if d == 0 {
		return
	}
	event.Log(&n.log, event.Suspended).Int("milliseconds", d.Milliseconds()).Send()
	n.apply(n.core.Handle(now.at, control.Suspended{For: d}))
}
