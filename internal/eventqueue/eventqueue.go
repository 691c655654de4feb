// Package eventqueue holds what is due at times of a fake clock. The measured
// fleets and the tests' fleets hand their messages over by it.
package eventqueue

import (
	"container/heap"
	"iter"
	"time"
)

// Queue gives its values back in the order of their times; those of one time in
// the order in which they were added. The zero value is empty and ready for use.
// It is for one goroutine.
type Queue[T any] struct {
	entries entries[T]
	added   uint64
}

// Add queues a value that is due at a time.
func (q *Queue[T]) Add(at time.Time, value T) {
	q.added++
	heap.Push(&q.entries, entry[T]{at: at, order: q.added, value: value})
}

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Next returns when the earliest value is due; ok is false when there is none.
func (q *Queue[T]) Next() (at time.Time, ok bool) {
	if len(q.entries) == 0 {
		return time.Time{}, false
	}
	return q.entries[0].at, true
}

// Until ranges over the values that are due at end or before, with their times,
// and removes each as it comes, also those that are added meanwhile.
func (q *Queue[T]) Until(end time.Time) iter.Seq2[time.Time, T] {
	return func(yield func(time.Time, T) bool) {
		for len(q.entries) > 0 && !q.entries[0].at.After(end) {
			first := heap.Pop(&q.entries).(entry[T])
			if !yield(first.at, first.value) {
				return
			}
		}
	}
}

// Clear removes all values.
func (q *Queue[T]) Clear() { q.entries = nil }

// entry is one queued value.
type entry[T any] struct {
	at    time.Time
	order uint64
	value T
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries[T]) Push(x any) { *e = append(*e, x.(entry[T])) }

// Pop implements heap.Interface. The place left is emptied, so that what was
// taken can be freed.
func (e *entries[T]) Pop() any {
	end := len(*e) - 1
	last := (*e)[end]
	(*e)[end] = entry[T]{}
	*e = (*e)[:end]
	return last
}
