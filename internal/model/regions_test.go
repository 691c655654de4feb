package model

import "testing"

func TestRegionsAllows(t *testing.T) {
	both := NewRegions([]RegionName{"north", "south"})
	for _, tt := range []struct {
		name    string
		regions Regions
		region  RegionName
		want    bool
	}{
		{"any", NewRegions(nil), "north", true},
		{"any, of an unknown region", NewRegions(nil), "", true},
		{"none", NewRegions([]RegionName{}), "north", false},
		{"named", both, "south", true},
		{"not named", both, "east", false},
		{"a part of a name", both, "nor", false},
		{"an unknown region", both, "", false},
		{"route and tenant", both.Intersect(NewRegions([]RegionName{"south", "east"})), "south", true},
		{"route but not tenant", both.Intersect(NewRegions([]RegionName{"south", "east"})), "north", false},
		{"nothing in common", both.Intersect(NewRegions([]RegionName{"east"})), "east", false},
		{"route alone", both.Intersect(NewRegions(nil)), "north", true},
		{"tenant alone", NewRegions(nil).Intersect(both), "east", false},
	} {
		if got := tt.regions.Allows(tt.region); got != tt.want {
			t.Errorf("%s: %q allows %q: %v", tt.name, tt.regions, tt.region, got)
		}
	}
}
