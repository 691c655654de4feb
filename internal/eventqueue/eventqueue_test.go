package eventqueue

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestQueueOrdersByTimeThenInsertion compares the queue with a stable sort, with removals
// between the additions.
func TestQueueOrdersByTimeThenInsertion(t *testing.T) {
	type due struct {
		At    time.Time
		Value int
	}
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var model []due
		maxTaken := rapid.IntRange(1, 3).Draw(t, "most taken at once")
		steps := rapid.SliceOfN(rapid.IntRange(-3, 5), 1, 50).Draw(t, "seconds, or a take")
		for value, s := range steps {
			at := time.Unix(int64(s), 0)
			if s >= 0 {
				q.Add(at, value)
				model = append(model, due{at, value})
				slices.SortStableFunc(model, func(a, b due) int { return a.At.Compare(b.At) })
				continue
			}
			end := time.Unix(int64(-s), 0)
			var got, want []due
			for at, v := range q.Until(end) {
				if got = append(got, due{at, v}); len(got) == maxTaken {
					break
				}
			}
			for len(model) > 0 && len(want) < maxTaken && !model[0].At.After(end) {
				want, model = append(want, model[0]), model[1:]
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatal(diff)
			}
		}
		if next, ok := q.Next(); ok != (len(model) > 0) || ok && !next.Equal(model[0].At) {
			t.Fatalf("next %v %v, want of %v", next, ok, model)
		}
		if q.Len() != len(model) {
			t.Fatalf("%d values, want %d", q.Len(), len(model))
		}
		if q.Clear(); q.Len() != 0 {
			t.Fatal("not empty once cleared")
		}
	})
}
