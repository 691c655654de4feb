package server

import (
	"net/http"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// LostOwners carries between nodes, on messages that go anyway, which owners the
// sender cannot connect to. Whoever hears of one finds out for itself.
type LostOwners struct {
	// Tell returns the owners to name, at most wire.MaxLost.
	Tell func() []model.InstanceID
	// Heard is told those that a peer named; it does not block.
	Heard func(ids []model.InstanceID)
}

// write names owners in a message's header, if there are any.
func (l *LostOwners) write(h http.Header) {
	if l == nil {
		return
	}
	ids := l.Tell()
	if len(ids) == 0 {
		return
	}
	// Names too long for the header are not told: a hint is no duty.
	if value, err := wire.EncodeLost(ids); err == nil {
		h.Set(wire.HeaderLost, value)
	}
}

// read takes what a message's header names. What a peer of another version words
// otherwise is a hint less.
func (l *LostOwners) read(h http.Header) {
	value := h.Get(wire.HeaderLost)
	if l == nil || value == "" {
		return
	}
	if ids, err := wire.DecodeLost(value); err == nil && len(ids) > 0 {
		l.Heard(ids)
	}
}
