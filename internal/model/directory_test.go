package model

import (
	"testing"
	"time"
)

func TestFreshnessAgeAddsTransitTime(t *testing.T) {
	for _, tt := range []struct {
		age  uint32
		by   time.Duration
		want uint32
	}{
		{0, 0, 0},
		{200, 2400 * time.Millisecond, 2600},
		{200, -time.Second, 200},
		{AgeUnknown, time.Second, AgeUnknown},
		{AgeUnknown - 5, time.Second, AgeUnknown},
	} {
		m := DirectoryFreshness{Revision: 7, AgeMs: tt.age}
		if got := m.Aged(tt.by); got != (DirectoryFreshness{Revision: 7, AgeMs: tt.want}) {
			t.Errorf("%d ms and %s: %+v, want age %d", tt.age, tt.by, got, tt.want)
		}
	}
}

func TestFreshnessOrderedByRevisionThenAge(t *testing.T) {
	known := DirectoryFreshness{Revision: 7, AgeMs: 300}
	for _, tt := range []struct {
		fresh DirectoryFreshness
		want  bool
	}{
		{DirectoryFreshness{Revision: 6, AgeMs: 0}, false},
		{DirectoryFreshness{Revision: 8, AgeMs: AgeUnknown}, true},
		{DirectoryFreshness{Revision: 7, AgeMs: 250}, false},
		{DirectoryFreshness{Revision: 7, AgeMs: 200}, true},
		{DirectoryFreshness{Revision: 7, AgeMs: AgeUnknown}, false},
	} {
		if got := tt.fresh.IsNewerThan(known); got != tt.want {
			t.Errorf("%+v newer than %+v: %v", tt.fresh, known, got)
		}
	}
}
