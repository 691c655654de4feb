package soak

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"gypsumstand/platform/standin"
)

// Times of deadly requests.
const (
	// deadlyEvery is the time between two sendings of one deadly request.
	deadlyEvery = 400 * time.Millisecond
	// endsAfter is the time from a deadly run's start to the worker's end, backAfter the
	// time from then until the worker is back.
	endsAfter = 30 * time.Millisecond
	backAfter = 1500 * time.Millisecond
	// lateEndsAfter is that of a late one: its caller's time is over by then.
	lateEndsAfter = routeTimeout + 500*time.Millisecond
	// deadlyEnds is the number of ends after which nodes must know, and deadlyMore how
	// often the request may still reach a worker once they do.
	deadlyEnds, deadlyMore = 3, 3
)

// deadlyClass begins the class of a deadly request, and the part of its path that names it;
// lateClass those of a late one.
const (
	deadlyClass = "deadly-"
	lateClass   = deadlyClass + "late-"
)

func (r *request) deadly() bool { return strings.HasPrefix(r.class, deadlyClass) }

// endOf returns the time from the start of a deadly run to its worker's end.
func endOf(class string) time.Duration {
	if strings.HasPrefix(class, lateClass) {
		return lateEndsAfter
	}
	return endsAfter
}

// classOf returns the class of a deadly request by its path, empty for others.
func classOf(path string) string {
	_, after, found := strings.Cut(path, "/"+deadlyClass)
	if !found {
		return ""
	}
	name, _, _ := strings.Cut(after, "/")
	return deadlyClass + name
}

// startPair lets callers send two deadly requests to one service from one moment on.
func (f *fleet) startPair(ctx context.Context, t trouble) {
	f.startDeadly(ctx, t, deadlyClass+"one-")
	f.startDeadly(ctx, t, deadlyClass+"other-")
}

// startDeadly lets a caller send one deadly request of a class again and again until ctx
// ends, at all machines in turn.
func (f *fleet) startDeadly(ctx context.Context, t trouble, class string) {
	name := fmt.Sprintf("%s%d-%d", class, t.at.Milliseconds(), t.machine)
	route, service := "browse", serviceCatalogue
	if t.machine%2 == 0 {
		route, service = "order", serviceOrders
	}
	// The run hangs until the worker's end.
	uri := fmt.Sprintf("/%s/%s/hang", route, name)
	f.deadly.Add(1)
	go func() {
		defer f.deadly.Done()
		c := newClient(f, 0, 0)
		defer c.http.CloseIdleConnections()
		for i := t.machine; ctx.Err() == nil; i++ {
			c.machine = f.machines[i%len(f.machines)]
			r := &request{id: fmt.Sprintf("%s-%d", name, i), class: name, service: service, machine: c.machine.index}
			c.exchange(ctx, r, uri, name)
			sleep(ctx, deadlyEvery)
		}
	}()
}

// ran takes a run of the worker, which ends under a deadly one.
func (m *machine) ran(run standin.Run) {
	m.fleet.ledger.ran(run)
	if class := classOf(run.Request.URL.Path); class != "" {
		time.AfterFunc(endOf(class), m.endWorker)
	}
}

// endWorker ends the worker's process: its port closes with all connections, until another
// life begins.
func (m *machine) endWorker() {
	m.mu.Lock()
	down := m.ended
	m.ended = true
	m.mu.Unlock()
	if down {
		return
	}
	m.workerWire.shut()
	time.AfterFunc(backAfter, m.reviveWorker)
}

func (m *machine) reviveWorker() {
	m.nextLife()
	if err := m.workerWire.open(); err != nil {
		m.fleet.ledger.violate("soak", "open the port of worker %d: %v", m.index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = false
}

// started and stopped note a process's life.
func (l *ledger) started(machine int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lives[machine] = append(l.lives[machine], span{from: time.Now()})
}

func (l *ledger) stopped(machine int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lives := l.lives[machine]
	lives[len(lives)-1].to = time.Now()
}

// checkDeadly holds machines in touch to keep a deadly request from workers, from touchTime
// after its third run on.
func (l *ledger) checkDeadly() {
	runs := map[string][]time.Time{}
	for _, r := range l.order {
		if r.deadly() {
			for _, run := range r.runs {
				runs[r.class] = append(runs[r.class], run.StartedAt)
			}
		}
	}
	late := map[string]int{}
	for _, r := range l.order {
		at := runs[r.class]
		if !r.deadly() || len(at) <= deadlyEnds {
			continue
		}
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		for _, run := range r.runs {
			if l.lateDeadly(at[deadlyEnds-1].Add(endOf(r.class)), r, run) {
				late[r.class]++
			}
		}
	}
	for class, n := range late {
		if n > deadlyMore {
			l.note("deadly", "%s reached workers %d times, %d of them later than %s after it had ended three", class, len(runs[class]), n, touchTime)
		}
	}
}

// lateDeadly tells whether a run of a deadly request came although the machines that sent it
// had been in touch since its third end.
func (l *ledger) lateDeadly(third time.Time, r *request, run standin.Run) bool {
	at := run.StartedAt
	if at.Sub(third) <= touchTime || !l.remembered(third, at) {
		return false
	}
	return l.inTouch(r.machine, at, at) && l.inTouch(workerMachine(run.Worker), at, at)
}

// remembered tells whether at each moment between two some node had run for touchTime: when
// all begin anew nobody can know.
func (l *ledger) remembered(from, to time.Time) bool {
	for at := from; at.Before(to); at = at.Add(100 * time.Millisecond) {
		if !l.anyRan(at) {
			return false
		}
	}
	return true
}

func (l *ledger) anyRan(at time.Time) bool {
	for _, lives := range l.lives {
		for _, s := range lives {
			if at.Sub(s.from) >= touchTime && (s.to.IsZero() || s.to.After(at)) {
				return true
			}
		}
	}
	return false
}
