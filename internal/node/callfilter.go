package node

import (
	"sync"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// callFilter limits the observations of calls that are passed to the core: newer bundle
// versions in messages, owners that did not reply, and owners that peers cannot connect
// to. Each is passed on once per tick.
type callFilter struct {
	mu          sync.Mutex
	versions    map[model.BundleVersion]bool
	unanswered  map[model.InstanceID]bool
	unreachable map[model.InstanceID]bool
	// freshest is the newest directory freshness that was passed on in this tick.
	freshest model.DirectoryFreshness
}

// firstFreshness reports whether no freshness at least as new as m has been passed on
// since the last tick.
func (f *callFilter) firstFreshness(m model.DirectoryFreshness) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !m.IsNewerThan(f.freshest) {
		return false
	}
	f.freshest = m
	return true
}

// firstVersion reports whether v has not been passed on since the last tick.
func (f *callFilter) firstVersion(v model.BundleVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return firstOf(&f.versions, v)
}

// reset clears the filter at each tick.
func (f *callFilter) reset(ev control.Event) {
	if _, tick := ev.(control.Tick); !tick {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.versions)
	clear(f.unanswered)
	clear(f.unreachable)
	f.freshest = model.DirectoryFreshness{}
}

// firstUnanswered reports whether id has not been passed on since the last tick as an
// owner that did not reply.
func (f *callFilter) firstUnanswered(id model.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return firstOf(&f.unanswered, id)
}

// firstUnreachable reports whether id has not been passed on since the last tick as an
// owner that a peer cannot connect to.
func (f *callFilter) firstUnreachable(id model.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return firstOf(&f.unreachable, id)
}

// firstOf adds id to a set and reports whether it was absent.
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

// bundleReported handles each bundle version in a message of a call.
func (n *Node) bundleReported(from model.InstanceID, v model.BundleVersion) {
	if v.Name == "" {
		return
	}
	current := n.core.Board.Bundles.Get().Bundle(v.Name)
	if current != nil && current.Version >= v.Version {
		return
	}
	if n.calls.firstVersion(v) {
		n.hint(control.VersionSeen{From: from, Version: v})
	}
}
