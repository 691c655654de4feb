// Package eventqueue is a time-ordered queue for a fake clock. Simulated fleets in tests
// and measurements deliver their messages with it.
package eventqueue

import (
	"container/heap"
	"iter"
	"time"
)

// Queue returns its values ordered by time, and values of the same time in the order in
// which they were added. The zero value is empty and ready for use. It is not safe for
// concurrent use.
type Queue[T any] struct {
	entries      entries[T]
	lastSequence uint64
}

// Add queues a value that is due at the given time.
func (q *Queue[T]) Add(at time.Time, value T) {
	q.lastSequence++
	heap.Push(&q.entries, entry[T]{at: at, sequence: q.lastSequence, value: value})
}

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Next returns when the earliest value is due; ok is false when the queue is empty.
func (q *Queue[T]) Next() (at time.Time, ok bool) {
	if len(q.entries) == 0 {
		return time.Time{}, false
	}
	return q.entries[0].at, true
}

// Until ranges over the values that are due at or before end, with their times. It
// removes each value before yielding it and includes values added during the iteration.
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

// entry is one queued value. sequence breaks ties between equal times.
type entry[T any] struct {
	at       time.Time
	sequence uint64
	value    T
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }

func (e entries[T]) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries[T]) Push(x any) { *e = append(*e, x.(entry[T])) }

// Pop implements heap.Interface. It clears the vacated element, so that the value can be
// garbage collected.
func (e *entries[T]) Pop() any {
	end := len(*e) - 1
	last := (*e)[end]
	(*e)[end] = entry[T]{}
	*e = (*e)[:end]
	return last
}
