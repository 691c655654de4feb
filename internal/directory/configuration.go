package directory

import (
	"fmt"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// applyBundle puts a newer configuration in force that came together with other changes, and
// ignores an older one.
func (c *Controller) applyBundle(now time.Time, r *control.DirectoryRead, source string) {
	b := r.Bundle
	current := c.board.Bundles.Get().Bundle(b.Name)
	switch {
	case current != nil && current.Version == b.Version:
		if r.Era == c.revision.Era && r.Config != nil && revisionOf(c.config) < r.Config.Revision {
			c.setConfig(b.Version, r.Config)
		}
		return
	case current != nil && current.Version > b.Version:
		c.record(event.ConfigOlder, b.VersionID().String(), current.VersionID().String(), nil)
		return
	}
	c.setConfig(b.Version, r.Config)
	c.decoded = r.Config
	c.putInForce(now, b, source)
}

// putInForce puts a configuration in force that is newer than the one before.
func (c *Controller) putInForce(now time.Time, b *bundle.Bundle, source string) {
	if c.refused != nil && c.refused.Revision < revisionOf(c.config) {
		c.refused = nil
	}
	c.board.Bundles.Put(bundle.NewSet([]*bundle.Bundle{b}))
	// Workers of services that the new configuration defines may now be used.
	c.dirty = true
	c.record(event.ConfigInForce, b.VersionID().String(), fmt.Sprintf("%d services, %d classes; from %s; the view was last confirmed %s ago",
		len(b.Services), len(b.Classes), source, sinceText(now, c.confirmed)), nil)
}

// applyEarlierBundle puts a newer configuration in force that comes with an earlier view of
// the directory.
func (c *Controller) applyEarlierBundle(now time.Time, r *control.DirectoryRead, source string) {
	if r.Bundle.Version <= c.configVersion() {
		return
	}
	c.applyBundle(now, r, source)
	c.config.Revision = c.revision.Number
	c.publishForPeers()
}

// setConfig sets the configuration that peers receive, unless a newer one is held; version is
// its own.
func (c *Controller) setConfig(version uint64, raw *model.RawConfig) {
	if raw == nil || version < c.configVersion() {
		return
	}
	config := *raw
	config.Version = version
	c.config = &config
}

// configVersion returns the version of the newest configuration that is in force or being
// decoded, zero for none.
func (c *Controller) configVersion() uint64 { return versionOf(c.config) }

// heldVersion returns the version of the newest configuration that this node holds, one that
// it cannot decode included; zero for none.
func (c *Controller) heldVersion() uint64 { return max(c.configVersion(), versionOf(c.refused)) }

func versionOf(raw *model.RawConfig) uint64 {
	if raw == nil {
		return 0
	}
	return raw.Version
}

// recordRefused records a newer configuration that cannot be decoded. The configuration in
// force stays, and the refused one is passed on to peers that may be able to decode it.
func (c *Controller) recordRefused(raw *model.RawConfig, err error, source string) {
	if c.isHeld(raw) {
		return
	}
	c.refused = raw
	c.record(event.ConfigRefused, fmt.Sprint("revision ", raw.Revision), "from "+source, err)
}

// isHeld reports whether this node holds a configuration or a newer one. Versions order them
// also across eras; one of unknown version is ordered by its revision.
func (c *Controller) isHeld(raw *model.RawConfig) bool {
	if raw.Version > 0 {
		return raw.Version <= c.heldVersion()
	}
	return raw.Revision <= revisionOf(c.config) || raw.Revision <= revisionOf(c.refused)
}

func revisionOf(raw *model.RawConfig) uint64 {
	if raw == nil {
		return 0
	}
	return raw.Revision
}
