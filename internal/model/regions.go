package model

import "strings"

// DataCentreRegions tells the region of each data centre.
type DataCentreRegions map[DataCentre]RegionName

// Regions are those in which a request may run: their names, each followed by a comma. The
// empty value means any region, noRegion none.
type Regions string

// noRegion is a list without names.
const noRegion Regions = ","

// NewRegions returns the regions of a list of names; an absent list means any.
func NewRegions(names []RegionName) Regions {
	if names == nil {
		return ""
	}
	var b strings.Builder
	for _, name := range names {
		b.WriteString(string(name) + ",")
	}
	if b.Len() == 0 {
		return noRegion
	}
	return Regions(b.String())
}

// Allows tells whether a request may run in a region. One whose name is not known is none of
// those that a list names.
func (r Regions) Allows(region RegionName) bool {
	if r == "" {
		return true
	}
	for name := range strings.SplitSeq(string(r), ",") {
		if name != "" && name == string(region) {
			return true
		}
	}
	return false
}

// Intersect returns the regions that both allow.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case r == "":
		return other
	case other == "":
		return r
	}
	both := []RegionName{}
	for name := range strings.SplitSeq(string(r), ",") {
		if name != "" && other.Allows(RegionName(name)) {
			both = append(both, RegionName(name))
		}
	}
	return NewRegions(both)
}
