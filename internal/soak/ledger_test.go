package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gypsumstand/platform/standin"
)

var began = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// at returns the time d after the beginning.
func at(d time.Duration) time.Time { return began.Add(d) }

// served is a request that was answered after one run.
func served(id, class, service string, sent time.Duration) *request {
	return &request{
		id: id, class: class, service: service, sent: at(sent), ended: at(sent + 20*time.Millisecond), status: http.StatusOK,
		runs: []standin.Run{{ID: id, Service: service, Worker: "w1-0", StartedAt: at(sent + time.Millisecond)}},
	}
}

// calmLedger has a served request each 50 ms for 20 s and no trouble.
func calmLedger() *ledger {
	l := newLedger()
	l.versions[1] = began
	for d := time.Duration(0); d < 20*time.Second; d += 50 * time.Millisecond {
		l.add(served("r"+d.String(), "browse", serviceCatalogue, d))
	}
	l.lastEnd = at(10 * time.Second)
	return l
}

func (l *ledger) add(r *request) {
	l.requests[r.id] = r
	l.order = append(l.order, r)
}

func TestACalmDayBreaksNothing(t *testing.T) {
	if got := calmLedger().check(); len(got) != 0 {
		t.Errorf("broken: %q", got)
	}
}

func TestEachCheckFindsItsFault(t *testing.T) {
	for rule, spoil := range map[string]func(*ledger){
		"twice": func(l *ledger) {
			r := served("x", "order", serviceOrders, time.Second)
			r.runs = append(r.runs, r.runs[0])
			l.add(r)
		},
		"refused": func(l *ledger) {
			r := served("x", "browse", serviceCatalogue, time.Second)
			r.status = http.StatusServiceUnavailable
			l.add(r)
		},
		"lost": func(l *ledger) {
			r := served("x", "order", serviceOrders, time.Second)
			r.status = 0
			l.add(r)
		},
		"timeout": func(l *ledger) {
			r := served("x", "order", serviceOrders, 6*time.Second)
			r.ended = r.sent.Add(routeTimeout + 2*time.Second)
			l.add(r)
		},
		"config: x": func(l *ledger) {
			l.versions[2] = began
			r := served("x", generation(2), serviceCatalogue, 9*time.Second)
			r.status, r.runs = http.StatusNotFound, nil
			l.add(r)
		},
		"budget": func(l *ledger) {
			for range 4 * retryExtra {
				r := served("x", "browse", serviceCatalogue, 15*time.Second)
				r.runs = append(r.runs, r.runs[0])
				l.add(r)
			}
		},
		"recover": func(l *ledger) {
			for _, r := range l.order {
				if r.sent.After(at(15 * time.Second)) {
					r.status, r.runs = http.StatusBadGateway, nil
				}
			}
		},
		"unasked": func(l *ledger) { l.ran(standin.Run{ID: "nobody's"}) },
		"route": func(l *ledger) {
			l.add(&request{id: "x", class: "order", service: serviceOrders})
			l.ran(standin.Run{ID: "x", Service: serviceCatalogue, Worker: "w1-0"})
		},
		"drain": func(l *ledger) {
			l.drained["w1-0"] = began
			l.add(&request{id: "x", class: "order", service: serviceOrders})
			l.ran(standin.Run{ID: "x", Service: serviceOrders, Worker: "w1-0", StartedAt: at(drainTime + time.Second)})
		},
		"deadly": func(l *ledger) { l.addDeadly() },
		"config: machine 1 has": func(l *ledger) {
			l.tookForce(inForce{machine: 1, version: 1, at: at(applyTime + time.Millisecond)})
		},
		"config: old": func(l *ledger) {
			l.versions[2] = at(time.Second)
			r := served("old", classMoved, "", 5*time.Second)
			r.runs[0].Service = serviceCatalogue
			l.add(r)
		},
		"config: zero": func(l *ledger) {
			l.versions[2] = at(time.Second)
			r := served("zero", classSplit, "", 5*time.Second)
			r.runs[0].Service = serviceCatalogue
			l.add(r)
		},
		"config: dropped": func(l *ledger) {
			l.versions[1+keptVersions] = at(time.Second)
			l.add(served("dropped", generation(1), serviceCatalogue, 5*time.Second))
		},
		"config: back": func(l *ledger) {
			l.lives[0] = []span{{from: began.Add(-time.Minute)}}
			l.versions[2] = at(3 * time.Second)
			l.add(served("new", generation(2), serviceCatalogue, 4*time.Second))
			r := served("back", generation(2), serviceCatalogue, 4*time.Second+2*regressSlack)
			r.status, r.runs = http.StatusNotFound, nil
			l.add(r)
		},
		"config: of 30 requests on added": func(l *ledger) {
			l.versions[2] = began
			for i := range 30 {
				r := served(fmt.Sprint("added", i), generation(2), serviceCatalogue, 5*time.Second)
				r.status, r.runs = http.StatusServiceUnavailable, nil
				l.add(r)
			}
		},
		"mixed": func(l *ledger) {
			r := served("x", "order", serviceOrders, time.Second)
			l.add(r)
			l.answered(r, &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, []byte("another's"), func(string) string { return "own" })
			r.ended = r.sent.Add(time.Millisecond)
		},
	} {
		t.Run(rule, func(t *testing.T) {
			l := calmLedger()
			spoil(l)
			got := l.check()
			if !slices.ContainsFunc(got, func(v string) bool { return strings.HasPrefix(v, rule) }) {
				t.Errorf("not found; found %q", got)
			}
		})
	}
}

func TestTroubleExcusesWhatHasATimeBound(t *testing.T) {
	l := calmLedger()
	l.versions[2] = at(6 * time.Second)
	l.tookForce(inForce{machine: 0, version: 2, at: at(9 * time.Second)})
	l.machineTrouble[0] = []span{{from: at(5 * time.Second), to: at(8 * time.Second)}}
	r := served("x", generation(2), serviceCatalogue, 9*time.Second)
	r.status, r.runs = http.StatusNotFound, nil
	l.add(r)
	if got := l.check(); len(got) != 0 {
		t.Errorf("broken: %q", got)
	}
}

// addDeadly adds a deadly request that goes on reaching workers of a machine.
func (l *ledger) addDeadly() {
	l.lives[1] = []span{{from: began.Add(-time.Minute)}}
	for i := range 10 {
		sent := time.Duration(i) * 1500 * time.Millisecond
		r := served(fmt.Sprint("deadly", i), deadlyClass+"1", serviceCatalogue, sent)
		r.status = http.StatusBadGateway
		l.add(r)
	}
}

// When every node has begun anew since, nobody can know.
func TestADeadlyRequestThatNobodyCanKnowIsExcused(t *testing.T) {
	l := calmLedger()
	l.addDeadly()
	l.lives[1] = []span{{from: began.Add(-time.Minute), to: at(6 * time.Second)}, {from: at(7 * time.Second)}}
	if got := l.check(); len(got) != 0 {
		t.Errorf("broken: %q", got)
	}
}

func TestASeedRepeatsThePlan(t *testing.T) {
	first, again := makePlan(7, 6, 20*time.Second, PlanNewest), makePlan(7, 6, 20*time.Second, PlanNewest)
	if first.String() != again.String() {
		t.Error("two plans of one seed differ")
	}
	if other := makePlan(8, 6, 20*time.Second, PlanNewest); other.String() == first.String() {
		t.Error("two seeds give one plan")
	}
}
