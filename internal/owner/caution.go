package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// Caution is what is known against a request that is offered.
type Caution struct {
	// Ends counts the workers that ended under earlier attempts of the same sending.
	Ends int
	// Alone: it runs where nothing else does that is to run alone.
	Alone bool
	// PutAside: it is refused; RetryAfter is the advice that goes with it.
	PutAside   bool
	RetryAfter time.Duration
}

// endsToRunAlone is the number of ends under one sending from which it runs alone. What was
// in hand at one end goes on at once, as mostly no request was the cause; in hand at two,
// the innocent ones would be told from the guilty one by nothing if all ended a third worker
// together.
const endsToRunAlone = 2

// alone tells whether the request has to run alone.
func (c Caution) alone() bool { return c.Alone || c.Ends >= endsToRunAlone }

func (c Caution) refusal() model.Refusal {
	return model.Refusal{Reason: model.ReasonPutAside, NotRun: true, RetryAfter: c.RetryAfter}
}

// mustWait tells whether a start has to wait for one that runs alone.
func (o *Owner) mustWait(it *item) bool { return it.alone && o.alones > 0 }
