package server

import (
	"gypsumstand/internal/event"
	"gypsumstand/internal/owner"
)

// logRelocated logs that the owner gave up a queued attempt because another owner is expected
// to answer it sooner.
func (x *Executor) logRelocated(d owner.Decision) {
	r := d.Relocation
	if r == nil {
		return
	}
	event.Log(x.requestLog, event.AttemptRelocated).
		Str("attempt", d.Attempt.String()).Str("class", string(r.Class)).Bool("slow", r.Slow).
		Int("waited_ms", r.Waited.Milliseconds()).Int("here_ms", r.Here.Milliseconds()).
		Int("elsewhere_ms", r.Elsewhere.Milliseconds()).Send()
}
