package owner

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/model"
)

// Entries refuse a part of a class's requests while most of them are not served (see
// entry/admission.go). Each owner tells them what share of a class it served.

const (
	// outcomeSlot and outcomeSlots make the window over which outcomes are counted, 0.75 s.
	// An owner gets 5 to 20 requests a second of a class, and overloads last from one to some
	// ten seconds. In an exponential mean the refusals of a shortage would outweigh the few
	// requests that are admitted after it for several seconds.
	outcomeSlot  = 150 * time.Millisecond
	outcomeSlots = 5
	// refusedWeight is the weight of an attempt that was refused before its start. It took no
	// slot, and is mostly offered again, by its entry elsewhere and by its caller. A greater
	// weight makes entries refuse more requests that would have been served.
	refusedWeight = 0.25
	// outcomePrior is the weight, in requests, of the assumption that a class is served. It
	// keeps one or two refusals in a quiet second from looking like a shortage.
	outcomePrior = 1.0
	// notableServed is the served share from which on a class is not reported: entries ignore
	// a loss of a few percent, and reports stay short.
	notableServed = 0.95
	// maxOutcomeNames bounds the class names in one report, in bytes, so that a report stays
	// within wire.MaxReportBytes.
	maxOutcomeNames = 256
)

// outcomeShare is the weighted share of a class's requests that were served recently. Its
// zero value is a share of 1.
type outcomeShare struct {
	slots [outcomeSlots]outcomeCount
	// slot is the number of the latest slot since the owner's start.
	slot int64
	// listed: the class is in Owner.losing.
	listed bool
}

// outcomeCount counts requests by outcome: lost are those whose run failed for a refused call,
// refused those that were refused before their start or by the worker.
type outcomeCount struct{ served, lost, refused uint32 }

// at returns the counts of the slot of time t.
func (s *outcomeShare) at(t time.Duration) *outcomeCount {
	s.advance(t)
	return &s.slots[s.slot%outcomeSlots]
}

// advance clears the slots that have left the window.
func (s *outcomeShare) advance(t time.Duration) {
	now := int64(t / outcomeSlot)
	for range min(now-s.slot, outcomeSlots) {
		s.slot++
		s.slots[s.slot%outcomeSlots] = outcomeCount{}
	}
	s.slot = max(s.slot, now)
}

// share returns the served share, 0 to 1.
func (s *outcomeShare) share(t time.Duration) float64 {
	s.advance(t)
	served, lost := outcomePrior, 0.0
	for _, c := range s.slots {
		served += float64(c.served)
		lost += float64(c.lost) + refusedWeight*float64(c.refused)
	}
	return served / (served + lost)
}

// countsOutcome reports whether the attempt's end counts for its class. Entries do not limit
// the calls of workers, and a class that the bundle does not name has no limit either.
func (o *Owner) countsOutcome(p *pendingAttempt) bool {
	return o.byOutcome && !p.isCall() && p.class != o.classes.other
}

// recordRefusalOutcome counts an attempt that was refused before its start, if the refusal
// is final and for load. One that the entry places elsewhere for free (busy, delegated) is
// not final.
func (o *Owner) recordRefusalOutcome(t time.Duration, p *pendingAttempt, r model.Reason) {
	if !o.countsOutcome(p) {
		return
	}
	switch r {
	case model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonExpired:
		o.losingOutcome(t, p.class).refused++
	}
}

// losingOutcome returns the counts of a class of which a request is lost now.
func (o *Owner) losingOutcome(t time.Duration, c *class) *outcomeCount {
	if !c.outcome.listed {
		c.outcome.listed = true
		o.losing = append(o.losing, c)
	}
	return c.outcome.at(t)
}

// recordRunOutcome counts a started attempt if it was served, refused by its worker for load,
// or failed because a call was refused. Fewer requests would not help against other failures.
func (o *Owner) recordRunOutcome(t time.Duration, p *pendingAttempt, f Completion) {
	if !o.countsOutcome(p) || f.Abandoned || f.SpuriousRefusal {
		return
	}
	switch {
	case f.Shed && f.Delegate && p.keyed:
		// The entry places it elsewhere for free.
	case f.Shed:
		o.losingOutcome(t, p.class).refused++
	case f.NotRun:
	case f.CallRefused:
		o.losingOutcome(t, p.class).lost++
	case !f.Failed:
		p.class.outcome.at(t).served++
	}
}

// classOutcomes returns the classes that lose a notable share, those that lose most first;
// nil for none.
func (o *Owner) classOutcomes(t time.Duration) []model.ClassOutcome {
	if !o.byOutcome {
		return nil
	}
	var out []model.ClassOutcome
	o.losing = slices.DeleteFunc(o.losing, func(c *class) bool {
		share := c.outcome.share(t)
		c.outcome.listed = share < 1 && o.classes.byName[c.name] == c
		if c.outcome.listed && share < notableServed {
			out = append(out, model.ClassOutcome{Class: c.name, Served: model.Thousandths(share)})
		}
		return !c.outcome.listed
	})
	slices.SortFunc(out, func(a, b model.ClassOutcome) int {
		return cmp.Or(cmp.Compare(a.Served, b.Served), cmp.Compare(a.Class, b.Class))
	})
	return boundOutcomes(out)
}

// boundOutcomes cuts a list to the number and the bytes that a report may hold.
func boundOutcomes(list []model.ClassOutcome) []model.ClassOutcome {
	names := 0
	for i := range list {
		names += len(list[i].Class)
		if i == model.MaxClassOutcomes || names > maxOutcomeNames {
			return list[:i]
		}
	}
	return list
}
