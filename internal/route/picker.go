package route

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

const (
	defaultLocalDelay  = 100 * time.Microsecond
	defaultRemoteDelay = time.Millisecond
	// clockOffset keeps a picker's times above 0, which means never.
	clockOffset = int64(time.Second)
)

// picker is an immutable index of the fleet. Only the cells, link times and statistics that
// it refers to change.
type picker struct {
	// base is the origin of the times in cells, the same for all pickers of a table.
	base     time.Time
	services map[model.ServiceName]*service
	byID     map[model.InstanceID]*upstream
	links    map[model.DataCentre]*linkTime
}

var emptyPicker = &picker{}

// nanos returns now in nanoseconds since the picker's origin, plus clockOffset.
func (p *picker) nanos(now time.Time) int64 {
	return int64(now.Sub(p.base)) + clockOffset
}

// service holds the upstreams of one service that are not leaving.
type service struct {
	name model.ServiceName
	// local are the upstreams of the table's own data centre and remote those of others,
	// without evacuated ones; all holds all of them, evacuated ones included, sorted by id.
	local, remote []*upstream
	all           []*upstream
	// slots is the bundle's, for upstreams without a report.
	slots int
	stats *serviceStats
	// warming is how long the service's workers warm up after their start, and meanTurnGap
	// the mean time between the turns of one entry at a warming worker, both in
	// nanoseconds; zero where the bundle does not restrict warming workers.
	warming, meanTurnGap int64
}

// upstream is one instance in a picker.
type upstream struct {
	instance model.Instance
	// hash is the hash of the instance's id, for Home.
	hash    uint64
	service *service
	link    *linkTime
	cell    *cell
	region  model.RegionName
	// evacuated reports that the workers of the upstream's data centre get no requests.
	evacuated bool
}

// Update rebuilds the picker from the blackboard's sections and keeps what was learned
// about upstreams that remain. Only the route controller calls it; it takes time
// proportional to the fleet.
func (t *Table) Update(now time.Time, fleet *model.Fleet, bundles *bundle.Set) {
	old := t.picker.Load()
	p := &picker{
		base:     old.base,
		services: make(map[model.ServiceName]*service, len(old.services)),
		byID:     make(map[model.InstanceID]*upstream, len(old.byID)),
		links:    make(map[model.DataCentre]*linkTime, len(old.links)),
	}
	if old == emptyPicker {
		p.base = now
	}
	b := builder{table: t, old: old, next: p, now: p.nanos(now), fleet: fleet, bundles: bundles}
	if fleet != nil {
		for i := range fleet.Instances {
			b.add(&fleet.Instances[i])
		}
	}
	t.picker.Store(p)
	b.retire()
}

// builder builds a picker from the previous one.
type builder struct {
	table   *Table
	old     *picker
	next    *picker
	now     int64
	fleet   *model.Fleet
	bundles *bundle.Set
}

func (b *builder) add(in *model.Instance) {
	if in.State >= model.StateGone {
		return
	}
	svc := b.service(in.Service)
	u := &upstream{
		instance: *in,
		hash:     xxhash.Sum64String(string(in.ID)),
		service:  svc,
		link:     b.link(in.DataCentre),
		cell:     b.cell(in),
		region:   b.table.cfg.Regions[in.DataCentre],

		evacuated: b.fleet.IsEvacuated(in.DataCentre),
	}
	u.cell.setFleetState(b.now, in.State)
	b.updateWarming(u)
	b.next.byID[in.ID] = u
	if in.State >= model.StateLeaving {
		return
	}
	svc.all = append(svc.all, u)
	if u.evacuated {
		return
	}
	if in.DataCentre == b.table.cfg.DataCentre {
		svc.local = append(svc.local, u)
	} else {
		svc.remote = append(svc.remote, u)
	}
}

// cell returns the cell of an instance: the previous one, unless the instance has a newer
// incarnation or serves another service now.
func (b *builder) cell(in *model.Instance) *cell {
	before := b.old.byID[in.ID]
	if before == nil || before.instance.Service != in.Service {
		return newCell(in.Incarnation)
	}
	if in.Incarnation > before.cell.incarnation() && before.cell.incarnation() != 0 {
		return newCell(in.Incarnation)
	}
	before.cell.raiseIncarnation(in.Incarnation)
	return before.cell
}

func (b *builder) service(name model.ServiceName) *service {
	svc := b.next.services[name]
	if svc != nil {
		return svc
	}
	svc = &service{name: name, slots: defaultSlots}
	if before := b.old.services[name]; before != nil {
		svc.stats = before.stats
	} else {
		svc.stats = &serviceStats{}
	}
	if b.bundles != nil {
		s, _ := b.bundles.Service(name)
		if s != nil && s.Slots > 0 {
			svc.slots = s.Slots
		}
		if s != nil && s.WarmingPerSecond > 0 {
			svc.warming = int64(s.Warming())
			// All nodes of the fleet are entry nodes.
			svc.meanTurnGap = int64(float64(len(b.fleet.Instances)) / s.WarmingPerSecond * float64(time.Second))
		}
	}
	b.next.services[name] = svc
	return svc
}

func (b *builder) link(dc model.DataCentre) *linkTime {
	l := b.next.links[dc]
	if l != nil {
		return l
	}
	l = b.old.links[dc]
	if l == nil {
		delay := b.table.cfg.RemoteDelay
		if dc == b.table.cfg.DataCentre {
			delay = b.table.cfg.LocalDelay
		}
		l = newLinkTime(2 * delay)
	}
	b.next.links[dc] = l
	return l
}

// retire takes the cells that are not in the new picker out of their services' statistics.
// Reports that still arrive at them are dropped.
func (b *builder) retire() {
	for id, before := range b.old.byID {
		after := b.next.byID[id]
		if after != nil && after.cell == before.cell {
			continue
		}
		before.retire()
	}
}

// serviceStats is what is known about a service as a whole. Its sums cover the last reports
// of the service's live upstreams.
type serviceStats struct {
	// reports is the number of reports in the sums.
	reports atomic.Int64
	// utilisation sums (in flight + queued) / limit, in 1/fixedPoint.
	utilisation atomic.Int64
	// serviceTime sums service times, in nanoseconds.
	serviceTime atomic.Int64
	// lastCalled is when this node last sent an attempt to the service.
	lastCalled atomic.Int64
	// roundRobin counts the choices of the baseline PolicyRoundRobin.
	roundRobin atomic.Uint64
}

// fixedPoint is the scale of utilisation.
const fixedPoint = 1 << 16

// means returns the service's mean utilisation, and its mean service time in nanoseconds;
// ok is false without any report.
func (s *serviceStats) means() (utilisation, serviceTime float64, ok bool) {
	n := s.reports.Load()
	if n <= 0 {
		return 0, 0, false
	}
	utilisation = float64(s.utilisation.Load()) / fixedPoint / float64(n)
	serviceTime = float64(s.serviceTime.Load()) / float64(n)
	return utilisation, serviceTime, true
}

// replace subtracts the contribution of one report and adds that of another.
func (s *serviceStats) replace(before, after *receivedReport) {
	n0, u0, s0 := before.contribution()
	n1, u1, s1 := after.contribution()
	s.utilisation.Add(u1 - u0)
	s.serviceTime.Add(s1 - s0)
	s.reports.Add(n1 - n0)
}
