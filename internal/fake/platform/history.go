package platform

import (
	"sort"
	"time"

	"gypsumstand/internal/model"
	protocol "gypsumstand/internal/registry"
)

// Bounds of the stored history.
const (
	// maxChanges is the number of list changes that are kept at least; a reader with an
	// older revision gets the full list.
	maxChanges = 1 << 14
	// maxVersions bounds the stored versions of one configuration value.
	maxVersions = 64
)

// instanceChange is one change of the list.
type instanceChange struct {
	revision uint64
	at       time.Time
	entry    protocol.InstanceEntry
}

// instanceLog holds the list with its history, so that it can be shown as of an earlier
// time.
type instanceLog struct {
	// base is the list before the first entry of changes.
	base         map[string]protocol.InstanceEntry
	baseRevision uint64
	changes      []instanceChange
}

func (l *instanceLog) add(at time.Time, e protocol.InstanceEntry) {
	l.changes = append(l.changes, instanceChange{revision: l.revision() + 1, at: at, entry: e})
	if len(l.changes) > 2*maxChanges {
		l.compactTo(maxChanges)
	}
}

// compactTo moves all but the newest kept changes into the base.
func (l *instanceLog) compactTo(kept int) {
	cut := max(len(l.changes)-kept, 0)
	for _, c := range l.changes[:cut] {
		apply(l.base, c.entry)
		l.baseRevision = c.revision
	}
	l.changes = append([]instanceChange(nil), l.changes[cut:]...)
}

func apply(list map[string]protocol.InstanceEntry, e protocol.InstanceEntry) {
	if e.State == model.StateGone.String() {
		delete(list, e.ID)
		return
	}
	list[e.ID] = e
}

func (l *instanceLog) revision() uint64 {
	if len(l.changes) == 0 {
		return l.baseRevision
	}
	return l.changes[len(l.changes)-1].revision
}

// changesUntil returns the changes made no later than at.
func (l *instanceLog) changesUntil(at time.Time) []instanceChange {
	n := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].at.After(at) })
	return l.changes[:n]
}

// latest returns the full list as it is now.
func (l *instanceLog) latest() map[string]protocol.InstanceEntry { return l.fullList(l.changes) }

func (l *instanceLog) fullList(changes []instanceChange) map[string]protocol.InstanceEntry {
	out := make(map[string]protocol.InstanceEntry, len(l.base)+len(changes))
	for id, e := range l.base {
		out[id] = e
	}
	for _, c := range changes {
		apply(out, c.entry)
	}
	return out
}

// read returns the list as of at: the changes after the revision since if they are still
// stored, else the full list. A reader with a newer revision than a stale list shows gets
// the full stale list.
func (l *instanceLog) read(at time.Time, since uint64) protocol.InstanceList {
	seen := l.changesUntil(at)
	revision := l.baseRevision
	if len(seen) > 0 {
		revision = seen[len(seen)-1].revision
	}
	full := since == 0 || since < l.baseRevision || since > revision
	list := protocol.InstanceList{Revision: &revision, Full: &full}
	if full {
		list.Instances = sorted(l.fullList(seen))
		return list
	}
	first := sort.Search(len(seen), func(i int) bool { return seen[i].revision > since })
	list.Instances = sorted(newestPerID(seen[first:]))
	return list
}

func newestPerID(changes []instanceChange) map[string]protocol.InstanceEntry {
	out := make(map[string]protocol.InstanceEntry, len(changes))
	for _, c := range changes {
		out[c.entry.ID] = c.entry
	}
	return out
}

func sorted(list map[string]protocol.InstanceEntry) []protocol.InstanceEntry {
	out := make([]protocol.InstanceEntry, 0, len(list))
	for _, e := range list {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// valueChange is one published version of a configuration value.
type valueChange struct {
	at      time.Time
	version uint64
	data    []byte
}

// valueLog holds the configuration with its history.
type valueLog struct {
	revision uint64
	// revisions holds the times of the newest revisions, oldest first.
	revisions []time.Time
	values    map[string][]valueChange
}

func (l *valueLog) add(at time.Time, v model.BundleVersion, data []byte) {
	l.revision++
	l.revisions = append(l.revisions, at)
	if len(l.revisions) > 2*maxChanges {
		l.revisions = append([]time.Time(nil), l.revisions[maxChanges:]...)
	}
	name := string(v.Name)
	changes := append(l.values[name], valueChange{at: at, version: v.Version, data: data})
	if len(changes) > maxVersions {
		changes = append([]valueChange(nil), changes[len(changes)-maxVersions:]...)
	}
	l.values[name] = changes
}

// value returns the named value as of at.
func (l *valueLog) value(at time.Time, name string) (valueChange, bool) {
	changes := l.values[name]
	n := sort.Search(len(changes), func(i int) bool { return changes[i].at.After(at) })
	if n == 0 {
		return valueChange{}, false
	}
	return changes[n-1], true
}

// index returns the index as of at.
func (l *valueLog) index(at time.Time) protocol.ConfigIndex {
	later := len(l.revisions) - sort.Search(len(l.revisions), func(i int) bool { return l.revisions[i].After(at) })
	revision := l.revision - uint64(later)
	versions := make([]protocol.VersionEntry, 0, len(l.values))
	for name := range l.values {
		if v, ok := l.value(at, name); ok {
			versions = append(versions, protocol.VersionEntry{Name: name, Version: v.version})
		}
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i].Name < versions[j].Name })
	return protocol.ConfigIndex{Revision: &revision, Versions: versions}
}
