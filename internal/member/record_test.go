package member

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// records generates records of one instance from few values, so that all ties occur.
func records() *rapid.Generator[wire.MemberRecord] {
	return rapid.Custom(func(t *rapid.T) wire.MemberRecord {
		return wire.MemberRecord{
			ID:           "a",
			PeerAddress:  rapid.SampledFrom([]string{"", "10.0.0.1:1", "10.0.0.2:1"}).Draw(t, "address"),
			Incarnation:  model.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation")),
			State:        model.UpstreamState(rapid.IntRange(0, 3).Draw(t, "state")),
			Counter:      uint64(rapid.IntRange(0, 2).Draw(t, "counter")),
			ListRevision: uint64(rapid.IntRange(0, 2).Draw(t, "revision")),
			ListStatus:   wire.ListStatus(rapid.IntRange(0, 3).Draw(t, "mark")),
		}
	})
}

func TestJoinIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := records().Draw(t, "a"), records().Draw(t, "b"), records().Draw(t, "c")
		same := func(what string, x, y wire.MemberRecord) {
			if diff := cmp.Diff(x, y); diff != "" {
				t.Fatalf("%s: %s", what, diff)
			}
		}
		same("commutative", join(a, b), join(b, a))
		same("associative", join(a, join(b, c)), join(join(a, b), c))
		same("idempotent", join(a, a), a)
		same("absorbing", join(join(a, b), b), join(a, b))
	})
}

func TestJoinNeverRegressesWithinIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := records().Draw(t, "a"), records().Draw(t, "b")
		j := join(a, b)
		if j.Incarnation < a.Incarnation {
			t.Fatalf("incarnation %d after %d", j.Incarnation, a.Incarnation)
		}
		if j.Incarnation == a.Incarnation && finality(j.State) < finality(a.State) {
			t.Fatalf("state %s after %s", j.State, a.State)
		}
	})
}

func TestJoinPrefersNewerOwnerCounter(t *testing.T) {
	live := wire.MemberRecord{ID: "a", Incarnation: 1, State: model.StateLive, Counter: 1}
	cold := wire.MemberRecord{ID: "a", Incarnation: 1, State: model.StateCold, Counter: 2}
	if got := join(live, cold).State; got != model.StateCold {
		t.Errorf("state %s after the owner announced cold", got)
	}
}

func TestTableDoesNotDependOnOrderOrRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []model.InstanceID{"a", "b", "c"}
		drawn := rapid.SliceOfN(records(), 1, 20).Draw(t, "said")
		for i := range drawn {
			drawn[i].ID = rapid.SampledFrom(ids).Draw(t, "id")
		}
		again := append(rapid.Permutation(drawn).Draw(t, "order"), drawn...)
		one, two := newTable(), newTable()
		for _, r := range drawn {
			one.merge(r)
		}
		for _, r := range again {
			two.merge(r)
		}
		if diff := cmp.Diff(one.instances(), two.instances()); diff != "" {
			t.Fatal(diff)
		}
		if one.root != two.root || one.present != two.present || !cmp.Equal(one.serving, two.serving) {
			t.Fatalf("digests or counts differ: %+v, %+v", one, two)
		}
		if one.root != rebuilt(one).root {
			t.Fatal("the root does not match the records")
		}
	})
}

// rebuilt returns a new table with t's records.
func rebuilt(t *table) *table {
	out := newTable()
	for _, id := range t.order {
		out.merge(t.entries[id].rec)
	}
	return out
}
