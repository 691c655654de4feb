package model

import "strings"

// DataCentreRegions maps each data centre to its region.
type DataCentreRegions map[DataCentre]RegionName

// Regions is the set of regions in which a request may run: their names, each followed by a
// comma. The empty value means any region, noRegions none.
type Regions string

// noRegions is the empty set.
const noRegions Regions = ","

// NewRegions returns the set of the named regions; nil means any region.
func NewRegions(names []RegionName) Regions {
	if names == nil {
		return ""
	}
	var b strings.Builder
	for _, name := range names {
		b.WriteString(string(name) + ",")
	}
	if b.Len() == 0 {
		return noRegions
	}
	return Regions(b.String())
}

// Allows reports whether a request may run in a region. An unknown region, whose name is
// empty, is allowed only if any region is.
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

// Intersect returns the regions that both r and other allow.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case r == "":
		return other
	case other == "":
		return r
	}
	common := []RegionName{}
	for name := range strings.SplitSeq(string(r), ",") {
		if name != "" && other.Allows(RegionName(name)) {
			common = append(common, RegionName(name))
		}
	}
	return NewRegions(common)
}
