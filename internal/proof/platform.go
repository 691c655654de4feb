package proof

import (
	"errors"
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

var errOutage = errors.New("platform outage")

// platform stands in for the configuration service and the instance list.
type platform struct {
	w *world
	// down: no read is answered. listLag is the delay after which the list shows changes.
	// frozen: the configuration service shows no new version.
	down    bool
	listLag time.Duration
	frozen  bool
	// list holds the newest entry of each instance; revisions holds all lists so far.
	list      map[model.InstanceID]model.Instance
	revisions []listRevision
	// versions counts the published versions; served is the one that readers get.
	versions uint64
	served   uint64
	values   map[uint64][]byte
	index    uint64
}

type listRevision struct {
	publishedAt time.Time
	revision    uint64
	instances   []model.Instance
}

func newPlatform(w *world) *platform {
	return &platform{w: w, list: map[model.InstanceID]model.Instance{}, values: map[uint64][]byte{}}
}

// put lists an instance with state s.
func (p *platform) put(n *node, s model.UpstreamState) {
	p.list[n.id] = model.Instance{ID: n.id, Service: n.service, DataCentre: n.dataCentre, PeerAddress: n.address, State: s}
	p.addRevision()
}

// remove removes an instance from the list.
func (p *platform) remove(n *node) {
	delete(p.list, n.id)
	p.addRevision()
}

func (p *platform) addRevision() {
	var all []model.Instance
	for _, n := range p.w.nodes {
		if in, ok := p.list[n.id]; ok {
			all = append(all, in)
		}
	}
	p.revisions = append(p.revisions, listRevision{
		publishedAt: p.w.now, revision: uint64(len(p.revisions) + 1), instances: all,
	})
}

// visibleList returns the list that readers see now.
func (p *platform) visibleList() listRevision {
	visibleAt := p.w.now.Add(-p.listLag)
	for _, r := range slices.Backward(p.revisions) {
		if !r.publishedAt.After(visibleAt) {
			return r
		}
	}
	return p.revisions[0]
}

// publish signs and publishes the next version.
func (p *platform) publish() {
	p.versions++
	p.values[p.versions] = signedBundle(p.versions, p.w.options.warmingSettings())
	if !p.frozen {
		p.serve(p.versions)
	}
}

// serve makes version the one that readers get.
func (p *platform) serve(version uint64) {
	if p.served != version {
		p.served = version
		p.index++
	}
}

// clearFaults ends all faults and serves the newest version.
func (p *platform) clearFaults() {
	if p.down {
		// Processes that knew no peer only learn of others from now on.
		p.w.ledger.recordDisturbance()
	}
	p.down, p.frozen, p.listLag = false, false, 0
	p.serve(p.versions)
}

// read posts the result of a read to a process after 2 to 10 ms.
func (p *platform) read(proc *process, answered func() control.Event, failed control.Event) {
	p.w.ledger.count("platform reads")
	p.w.after(p.w.between(2*time.Millisecond, 10*time.Millisecond), func() {
		ev := failed
		if !p.down {
			ev = answered()
		}
		proc.postEvent(ev)
	})
}

func (p *platform) readList(proc *process, since uint64) {
	p.read(proc, func() control.Event {
		r := p.visibleList()
		if since == 0 || since > r.revision {
			return control.ListRead{Revision: r.revision, Full: true, Instances: slices.Clone(r.instances)}
		}
		return control.ListRead{Revision: r.revision, Instances: p.changes(since, r)}
	}, control.ListReadFailed{Err: errOutage})
}

// changes returns the entries that differ between two revisions; removed instances have
// StateGone.
func (p *platform) changes(since uint64, now listRevision) []model.Instance {
	old := map[model.InstanceID]model.Instance{}
	for _, in := range p.revisions[since-1].instances {
		old[in.ID] = in
	}
	var out []model.Instance
	for _, in := range now.instances {
		if old[in.ID] != in {
			out = append(out, in)
		}
		delete(old, in.ID)
	}
	for _, n := range p.w.nodes {
		if _, removed := old[n.id]; removed {
			out = append(out, model.Instance{ID: n.id, State: model.StateGone})
		}
	}
	return out
}

func (p *platform) readIndex(proc *process) {
	p.read(proc, func() control.Event {
		return control.IndexRead{Revision: p.index, Versions: []model.BundleVersion{{Name: bundleName, Version: p.served}}}
	}, control.IndexReadFailed{Err: errOutage})
}

func (p *platform) readValue(proc *process, name model.BundleName) {
	p.read(proc, func() control.Event {
		return control.ValueRead{Name: name, Data: p.values[p.served]}
	}, control.ValueReadFailed{Name: name, Err: errOutage})
}
