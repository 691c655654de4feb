package member

import (
	"testing"
	"time"

	"gypsumstand/internal/event"
)

// In a fleet of a few instances each part of a partition may declare all of the
// other gone: one instance of a data centre may always look dead.
func TestPartsThatDeclaredEachOtherGoneJoinAgain(t *testing.T) {
	f := grown(t, 5, 3, 20*time.Second)
	cut := func(x *node) bool { return x == f.nodes[0] || x == f.nodes[1] }
	f.blocked = func(a, b *node) bool { return cut(a) != cut(b) }
	f.run(2 * time.Minute)
	if f.eventCount(event.MemberDeclaredGone) == 0 {
		t.Fatal("nobody was declared gone; the test shows nothing")
	}
	f.blocked = func(_, _ *node) bool { return false }
	if took := f.until(time.Minute, func() bool { return f.converged(5) }); took > 20*time.Second {
		t.Errorf("no common view %s after the partition healed", took)
	}
}
