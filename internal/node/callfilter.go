package node

import (
	"sync"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// callFilter passes on what calls show: newer bundle versions that rode on
// them, owners that gave no answer, and those that peers cannot connect to; each once a
// tick.
type callFilter struct {
	mu         sync.Mutex
	sent       map[model.BundleVersion]bool
	unanswered map[model.InstanceID]bool
	lost       map[model.InstanceID]bool
	// marked is the newest mark of a directory that was passed on in this tick.
	marked model.DirectoryFreshness
}

// newMark reports whether no mark as new as m has been passed on since the last
// tick.
func (f *callFilter) newMark(m model.DirectoryFreshness) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !m.IsNewerThan(f.marked) {
		return false
	}
	f.marked = m
	return true
}

// first reports whether v has not been passed on since the last tick.
func (f *callFilter) first(v model.BundleVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return firstOf(&f.sent, v)
}

// reset forgets at each tick what was passed on.
func (f *callFilter) reset(ev control.Event) {
	if _, tick := ev.(control.Tick); !tick {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.sent)
	clear(f.unanswered)
	clear(f.lost)
	f.marked = model.DirectoryFreshness{}
}

// firstUnanswered reports whether id has not been passed on since the last tick as an
// owner that gave no answer.
func (f *callFilter) firstUnanswered(id model.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return firstOf(&f.unanswered, id)
}

// firstLost reports whether id has not been passed on since the last tick as an owner
// that a peer cannot connect to.
func (f *callFilter) firstLost(id model.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return firstOf(&f.lost, id)
}

// firstOf adds id to a set and reports whether it was not there.
func firstOf[K comparable](set *map[K]bool, id K) bool {
	if (*set)[id] {
		return false
	}
	if *set == nil {
		*set = map[K]bool{}
	}
	(*set)[id] = true
	return true
}

// seen is told each version that rode on a call.
func (n *Node) seen(from model.InstanceID, v model.BundleVersion) {
	if v.Name == "" {
		return
	}
	held := n.core.Board.Bundles.Get().Bundle(v.Name)
	if held != nil && held.Version >= v.Version {
		return
	}
	if n.calls.first(v) {
		n.hint(control.VersionSeen{From: from, Version: v})
	}
}
