package server

import "testing"

func TestAttemptsAtALostOwnerHearOfItAndNoOthers(t *testing.T) {
	var s UnreachableSignal
	first, endFirst := s.wait("lost")
	second, endSecond := s.wait("lost")
	other, endOther := s.wait("other")
	endSecond()
	s.Raise("lost")
	s.Raise("unknown")
	later, endLater := s.wait("lost")
	for name, tt := range map[string]struct {
		lost <-chan struct{}
		want bool
	}{
		"first": {first, true}, "second": {second, true}, "other owner": {other, false}, "later": {later, false},
	} {
		got := false
		select {
		case <-tt.lost:
			got = true
		default:
		}
		if got != tt.want {
			t.Errorf("%s: told %v, want %v", name, got, tt.want)
		}
	}
	endFirst()
	endOther()
	endLater()
	if len(s.waiting) != 0 {
		t.Errorf("%d owners are still held", len(s.waiting))
	}
}
