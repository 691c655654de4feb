package directory

import (
	"fmt"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// takeBundle puts a newer configuration in force; an older one never is.
func (c *Controller) takeBundle(now time.Time, r *control.DirectoryRead, by string) {
	b := r.Bundle
	held := c.board.Bundles.Get().Bundle(b.Name)
	switch {
	case held != nil && held.Version == b.Version:
		return
	case held != nil && held.Version > b.Version:
		c.record(event.ConfigOlder, b.VersionID().String(), held.VersionID().String(), nil)
		return
	}
	c.config = r.Config
	if c.refused != nil && c.refused.Revision < revisionOf(c.config) {
		c.refused = nil
	}
	c.board.Bundles.Put(bundle.NewSet([]*bundle.Bundle{b}))
	// Entries of services that it names may be used from now on.
	c.dirty = true
	c.record(event.ConfigInForce, b.VersionID().String(), fmt.Sprintf("%d services, %d classes; by %s; before it the view was confirmed %s ago",
		len(b.Services), len(b.Classes), by, since(now, c.confirmed)), nil)
}

// takeRefused notes a newer configuration that cannot be decoded: the one in force stays,
// and peers that can decode it are told what it says.
func (c *Controller) takeRefused(r *control.DirectoryRead, by string) {
	revision := r.Refused.Revision
	if revision <= revisionOf(c.config) || revision <= revisionOf(c.refused) {
		return
	}
	c.refused = r.Refused
	c.record(event.ConfigRefused, fmt.Sprint("revision ", revision), "told by "+by, r.RefusedErr)
}

func revisionOf(raw *model.RawConfig) uint64 {
	if raw == nil {
		return 0
	}
	return raw.Revision
}
