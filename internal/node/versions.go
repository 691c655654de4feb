package node

import (
	"sync"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// versionFilter passes on the bundle versions that rode on calls: newer ones
// only, each once a tick.
type versionFilter struct {
	mu   sync.Mutex
	sent map[model.BundleVersion]bool
}

// first reports whether v has not been passed on since the last tick.
func (f *versionFilter) first(v model.BundleVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sent[v] {
		return false
	}
	if f.sent == nil {
		f.sent = map[model.BundleVersion]bool{}
	}
	f.sent[v] = true
	return true
}

// reset forgets at each tick what was passed on.
func (f *versionFilter) reset(ev control.Event) {
	if _, tick := ev.(control.Tick); !tick {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.sent)
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
	if n.versions.first(v) {
		n.sink(control.VersionSeen{From: from, Version: v})
	}
}
