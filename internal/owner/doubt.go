package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// When a worker ends, all that it ran is suspect, and mostly innocent. Taken on to the next
// worker at once and together, the innocent end there again with the guilty one, and
// nothing tells them apart. So few of them run at a worker at once, and those under which
// two workers ended one by one.

// Caution is what is known against a request that is offered.
type Caution struct {
	// Ends counts the workers that ended under earlier attempts of the same sending.
	Ends int
	// Alone: it runs where nothing else does that is suspect as well.
	Alone bool
	// PutAside: it is refused; RetryAfter is the advice that goes with it.
	PutAside   bool
	RetryAfter time.Duration
}

// doubt is how suspect a request is.
type doubt uint8

const (
	doubtNone doubt = iota
	// doubtSome: a worker ended under an earlier attempt.
	doubtSome
	// doubtAlone: two did.
	doubtAlone
	doubts
)

func (c Caution) doubt() doubt {
	switch {
	case c.Alone || c.Ends > 1:
		return doubtAlone
	case c.Ends == 1:
		return doubtSome
	}
	return doubtNone
}

func (c Caution) refusal() model.Refusal {
	return model.Refusal{Reason: model.ReasonPutAside, NotRun: true, RetryAfter: c.RetryAfter}
}

// doubtShare is the part of a worker's slots in which what was in hand at another one's end
// runs: a half, so that at a service of three workers the two others take all of it at
// once, and nobody waits for an end that no request was the cause of.
const doubtShare = 2

// doubtCounts counts attempts in flight by their doubt.
type doubtCounts [doubts]int

// holds tells whether a start has to wait for what is in flight that is suspect as well.
func (d *doubtCounts) holds(it *item, limit int) bool {
	switch it.doubt {
	case doubtAlone:
		return d[doubtAlone] > 0
	case doubtSome:
		return d[doubtSome] >= max(limit/doubtShare, 1)
	}
	return false
}
