package route

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/model"
)

// Home returns the upstream that is the home node of a caller's own request id: the one
// with the highest rendezvous hash among the service's upstreams that are not leaving, gone
// or unreachable. Nodes with equal views agree on it, whatever the load.
func (t *Table) Home(now time.Time, service model.ServiceName, id model.RequestID) (c Choice, ok bool) {
	return t.NextHome(now, &Query{Service: service}, id, nil)
}

// NextHome is Home within a query's regions and without the instances in skipped: the home
// node that takes over once those are no longer in charge.
func (t *Table) NextHome(now time.Time, q *Query, id model.RequestID, skipped []model.InstanceID) (c Choice, ok bool) {
	p := t.picker.Load()
	svc := p.services[q.Service]
	if svc == nil {
		return Choice{}, false
	}
	f := t.newFilter(p.nanos(now), skipped, q.Regions)
	// The owners of an evacuated data centre run no requests but remember ids.
	f.includeEvacuated, f.ignoreTurns = true, true
	u := svc.home(xxhash.Sum64String(string(id)), f)
	if u == nil {
		return Choice{}, false
	}
	return t.choice(u, p.nanos(now), q), true
}

// IsHome reports whether an instance of a service may be the home node of request ids.
func (t *Table) IsHome(now time.Time, service model.ServiceName, id model.InstanceID) bool {
	p := t.picker.Load()
	svc := p.services[service]
	if svc == nil {
		return false
	}
	i, found := svc.find(id)
	f := t.newFilter(p.nanos(now), nil, "")
	f.includeEvacuated, f.ignoreTurns = true, true
	return found && svc.all[i].eligible(f)
}

// find returns the index of an instance among the service's upstreams.
func (s *service) find(id model.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(s.all, id, func(u *upstream, id model.InstanceID) int {
		return cmp.Compare(u.instance.ID, id)
	})
}

// PickInstance returns one instance of a service; ok is false when it may not be chosen.
func (t *Table) PickInstance(now time.Time, q *Query, id model.InstanceID) (c Choice, ok bool) {
	p := t.picker.Load()
	svc := p.services[q.Service]
	if svc == nil {
		return Choice{}, false
	}
	i, found := svc.find(id)
	f := t.newFilter(p.nanos(now), nil, q.Regions)
	f.ignoreTurns = true
	if !found || !svc.all[i].eligible(f) {
		return Choice{}, false
	}
	return t.choice(svc.all[i], p.nanos(now), q), true
}

// home returns the eligible upstream with the highest score for a request's hash; among
// equals, the first by id.
func (s *service) home(request uint64, f filter) *upstream {
	var best *upstream
	var highest uint64
	for _, u := range s.all {
		if !u.eligible(f) {
			continue
		}
		if score := rendezvous(request, u.hash); best == nil || score > highest {
			best, highest = u, score
		}
	}
	return best
}

// rendezvous returns the score of an instance for a request.
func rendezvous(request, instance uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], request)
	binary.LittleEndian.PutUint64(pair[8:], instance)
	return xxhash.Sum64(pair[:])
}
