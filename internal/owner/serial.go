package owner

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
)

// serialSet holds the contents whose attempts run one at a time here: if the first crashes
// the worker, the others never start. A content stays in the set until the worker responds
// to one of its attempts, or the last attempt ends.
type serialSet map[model.Fingerprint]*serialGroup

// serialGroup holds the attempts of one content.
type serialGroup struct {
	// leader is the only attempt that may start or run.
	leader *pendingAttempt
	// held are the queued attempts that wait for the leader, in order of arrival.
	held []*pendingAttempt
}

// leads reports whether another attempt of the content is queued or running.
func (s serialSet) leads(content model.Fingerprint) bool { return s[content] != nil }

// join adds an admitted attempt as the leader of its content, or held behind the leader. The
// one that led when the attempt was offered may have made room for it in a full queue.
func (s serialSet) join(p *pendingAttempt) {
	if p.content.IsZero() {
		return
	}
	g := s[p.content]
	p.held = g != nil
	if g == nil {
		s[p.content] = &serialGroup{leader: p}
		return
	}
	g.held = append(g.held, p)
}

// leaveSerial removes an attempt that ends without a response of the worker; the next one
// of its content may start then.
func (o *Owner) leaveSerial(p *pendingAttempt) {
	g := o.serial[p.content]
	if g == nil {
		return
	}
	if g.leader != p {
		g.held = slices.DeleteFunc(g.held, func(other *pendingAttempt) bool { return other == p })
		return
	}
	if len(g.held) == 0 {
		delete(o.serial, p.content)
		return
	}
	g.leader, g.held = g.held[0], g.held[1:]
	o.unhold(g.leader)
}

// endSerial lets all attempts of a content run beside each other.
func (o *Owner) endSerial(content model.Fingerprint) {
	g := o.serial[content]
	if g == nil {
		return
	}
	delete(o.serial, content)
	for _, p := range g.held {
		o.unhold(p)
	}
}

// unhold lets a queued attempt start.
func (o *Owner) unhold(p *pendingAttempt) {
	o.queue.remove(p)
	p.held = false
	// The wait for the leader is no sample of the waits that were predicted.
	p.predicted = 0
	o.queue.push(p)
}

// endLongSerial lets the attempts run that have waited for a run of model.MaxSerialRun.
func (o *Owner) endLongSerial(t time.Duration) {
	for content, g := range o.serial {
		if g.leader.started && t-g.leader.startedAt >= model.MaxSerialRun {
			o.endSerial(content)
		}
	}
}

// Responding records that the worker responds to a started attempt, and returns the
// decisions on others of the same content, which need not wait any longer.
func (o *Owner) Responding(now time.Time, id model.AttemptID) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pending[id]
	if p == nil || p.content.IsZero() {
		return o.takeDecisions()
	}
	o.endSerial(p.content)
	o.dispatch(o.clock(now))
	return o.takeDecisions()
}
