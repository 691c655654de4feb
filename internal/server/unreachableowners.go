package server

import (
	"net/http"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// UnreachableOwners piggybacks the ids of owners that the sender cannot connect to on
// messages between nodes. A receiver checks for itself.
type UnreachableOwners struct {
	// List returns the owners to report, at most wire.MaxUnreachable.
	List func() []model.InstanceID
	// Reported is called with the owners that a peer reported; it must not block.
	Reported func(ids []model.InstanceID)
}

// write adds the owners to a message's header, if there are any.
func (l *UnreachableOwners) write(h http.Header) {
	if l == nil {
		return
	}
	ids := l.List()
	if len(ids) == 0 {
		return
	}
	// Ids that are too long for the header are left out, since they are only hints.
	if value, err := wire.EncodeUnreachable(ids); err == nil {
		h.Set(wire.HeaderUnreachable, value)
	}
}

// read reads the owners from a message's header. A value that cannot be decoded, as from
// a peer of another version, is ignored.
func (l *UnreachableOwners) read(h http.Header) {
	value := h.Get(wire.HeaderUnreachable)
	if l == nil || value == "" {
		return
	}
	if ids, err := wire.DecodeUnreachable(value); err == nil && len(ids) > 0 {
		l.Reported(ids)
	}
}
