package member

import (
	"testing"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// In a fleet of a few instances each part of a partition could declare the other
// gone one by one, as one instance of a data centre may always look dead.
func TestPartsOfASmallFleetDeclareNobodyGoneAndJoinAgain(t *testing.T) {
	f := grown(t, 5, 3, 20*time.Second)
	cut := func(x *node) bool { return x == f.nodes[0] || x == f.nodes[1] }
	f.blocked = func(a, b *node) bool { return cut(a) != cut(b) }
	f.run(20 * time.Minute)
	if f.eventCount(event.MemberSuspected) == 0 {
		t.Fatal("nobody was suspected; the test shows nothing")
	}
	if k := f.eventCount(event.MemberDeclaredGone); k > 0 {
		t.Errorf("declared gone %d times", k)
	}
	f.joinsWithin(t, 20*time.Second)
}

// In a fleet of two, the other one is declared gone by one observer.
func TestPartsThatDeclaredEachOtherGoneJoinAgain(t *testing.T) {
	f := grown(t, 2, 1, 20*time.Second)
	f.blocked = func(_, _ *node) bool { return true }
	f.run(2 * time.Minute)
	if f.count(f.nodes[0].inst.ID, model.StateGone) != 1 || f.count(f.nodes[1].inst.ID, model.StateGone) != 1 {
		t.Fatal("they did not declare each other gone; the test shows nothing")
	}
	f.joinsWithin(t, 20*time.Second)
}

// joinsWithin heals a partition and wants a common view within d.
func (f *fleet) joinsWithin(t *testing.T, d time.Duration) {
	t.Helper()
	f.blocked = func(_, _ *node) bool { return false }
	if took := f.until(time.Minute, func() bool { return f.converged(len(f.nodes)) }); took > d {
		t.Errorf("no common view %s after the partition healed", took)
	}
}
