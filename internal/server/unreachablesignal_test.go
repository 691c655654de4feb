package server

import "testing"

func TestUnreachableSignalNotifiesOnlyAttemptsAtOwner(t *testing.T) {
	var s UnreachableSignal
	first, endFirst := s.wait("unreachable")
	second, endSecond := s.wait("unreachable")
	other, endOther := s.wait("other")
	endSecond()
	s.Raise("unreachable")
	s.Raise("unknown")
	later, endLater := s.wait("unreachable")
	for name, tt := range map[string]struct {
		raised <-chan struct{}
		want   bool
	}{
		"first": {first, true}, "second": {second, true}, "other owner": {other, false}, "later": {later, false},
	} {
		got := false
		select {
		case <-tt.raised:
			got = true
		default:
		}
		if got != tt.want {
			t.Errorf("%s: notified %v, want %v", name, got, tt.want)
		}
	}
	endFirst()
	endOther()
	endLater()
	if len(s.waiting) != 0 {
		t.Errorf("%d owners still have waiting attempts", len(s.waiting))
	}
}
