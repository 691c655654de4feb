package directory

import (
	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// maxInlineConfig is the largest compressed configuration, in bytes, that is sent together
// with other changes: a node on a link of 10 Mbit/s receives it in 7 ms.
const maxInlineConfig = 8 << 10

// Requested is what a peer that requests changes knows already.
type Requested struct {
	// After is the revision up to which it knows every change.
	After model.Revision
	// Config is the version of the newest configuration that it holds.
	Config uint64
	// Separate reports that it requests large configurations separately.
	Separate bool
}

// Changes returns the changes in d that a peer does not know: all content for one of an
// earlier era, and for one of a later era nothing but a newer configuration.
func Changes(d *blackboard.Directory, known Requested) control.DirectoryRead {
	out := control.DirectoryRead{Era: d.Revision.Era, Revision: d.Revision.Number}
	if d.Config != nil && d.Config.Version > known.Config {
		out.Config = d.Config
	}
	if known.After.Era <= d.Revision.Era {
		after := known.After.Number
		if known.After.Era < d.Revision.Era {
			after = 0
		}
		out.Full = after < d.CompactedRevision || after == 0
		addChanges(&out, d, after)
	}
	if known.Separate {
		separateConfig(&out, d, known.Config)
	}
	return out
}

// addChanges adds the changes in d after a revision of its era, or all of them if out is
// full.
func addChanges(out *control.DirectoryRead, d *blackboard.Directory, after uint64) {
	for _, l := range d.Listed {
		if out.Full || l.Revision > after {
			out.Listed = append(out.Listed, l)
		}
	}
	for _, u := range d.Unlisted {
		if u.Revision > after {
			out.Unlisted = append(out.Unlisted, u)
		}
	}
	for _, e := range d.Evacuations {
		if out.Full && !e.Ended || !out.Full && e.Revision > after {
			out.Evacuations = append(out.Evacuations, e)
		}
	}
	if d.Config != nil && (out.Full || d.Config.Revision > after) {
		out.Config = d.Config
	}
	if d.Refused != nil && (out.Full || d.Refused.Revision > after) {
		out.Refused = d.Refused
	}
}

// separateConfig replaces a large configuration in out by its state, and drops one that the
// peer holds; known is the newest version that it holds. A refused configuration of unknown
// version stays, as only its revision orders it.
func separateConfig(out *control.DirectoryRead, d *blackboard.Directory, known uint64) {
	if out.Refused != nil && out.Refused.Version > 0 {
		out.Refused = nil
	}
	newest := NewestConfig(d)
	out.Config = nil
	if versionOf(newest) > known && len(newest.Packed) <= maxInlineConfig {
		out.Config = newest
	}
	state := model.ConfigState{Version: versionOf(newest), KnownTo: d.ConfigKnownTo, ChangedBy: d.ConfigChangedBy}
	withheld := out.Config == nil && state.Version > known
	if withheld || d.ConfigKnownTo < d.Revision.Number {
		out.Separate = &state
	}
}

// NewestConfig returns the newest configuration that a node holds, also one that it cannot
// decode itself; nil for none. d is nil if the node has published no view.
func NewestConfig(d *blackboard.Directory) *model.RawConfig {
	if d == nil {
		return nil
	}
	if d.Refused != nil && (d.Config == nil || d.Refused.Version > d.Config.Version) {
		return d.Refused
	}
	return d.Config
}

// NewestVersion returns the version of NewestConfig, zero for none.
func NewestVersion(d *blackboard.Directory) uint64 { return versionOf(NewestConfig(d)) }
