package server

import (
	"net/http"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// UnreachableOwners carries between nodes, on messages that go anyway, which owners the
// sender cannot connect to. Whoever hears of one finds out for itself.
type UnreachableOwners struct {
	// List returns the owners to name, at most wire.MaxLost.
	List func() []model.InstanceID
	// FreshnessReported is told those that a peer named; it does not block.
	Reported func(ids []model.InstanceID)
}

// write names owners in a message's header, if there are any.
func (l *UnreachableOwners) write(h http.Header) {
	if l == nil {
		return
	}
	ids := l.List()
	if len(ids) == 0 {
		return
	}
	// Names too long for the header are not told: a hint is no duty.
	if value, err := wire.EncodeUnreachable(ids); err == nil {
		h.Set(wire.HeaderUnreachable, value)
	}
}

// read takes what a message's header names. What a peer of another version words
// otherwise is a hint less.
func (l *UnreachableOwners) read(h http.Header) {
	value := h.Get(wire.HeaderUnreachable)
	if l == nil || value == "" {
		return
	}
	if ids, err := wire.DecodeUnreachable(value); err == nil && len(ids) > 0 {
		l.Reported(ids)
	}
}
