// Package soak runs the real node programs as separate processes against stand-ins of the
// store and the workers, injects faults from outside by a plan that a seed reproduces,
// and checks the nodes' guarantees by what clients and workers observe.
package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Config holds the settings of one soak.
type Config struct {
	// Program is the file of the node's program.
	Program string
	// Dir is the directory for settings and logs.
	Dir  string
	Seed uint64
	// Machines is the number of nodes, Length the time for which clients send requests.
	Machines int
	Length   time.Duration
	// Plan names the list of kinds that the plan is drawn from.
	Plan PlanVersion
}

// Report holds the results of a soak.
type Report struct {
	Plan       string
	Violations []string
	Requests   int
	Served     int
	// ServedOf counts the served requests by class.
	ServedOf map[string]int
	// WorkerResets counts the requests that met a full worker, which reset their connections.
	WorkerResets int
	// ApplyDelays are the delays, sorted, from the writing of a version until an
	// undisturbed machine had it active.
	ApplyDelays []time.Duration
	// StoreCalls counts the calls to the store, Elapsed is the duration of the soak.
	StoreCalls int
	Elapsed    time.Duration
}

// ApplySummary describes the delays with which configurations became active.
func (r Report) ApplySummary() string {
	n := len(r.ApplyDelays)
	if n == 0 {
		return "no configuration at an undisturbed machine"
	}
	return fmt.Sprintf("configurations at undisturbed machines: %d, median delay %s, longest %s; %.1f calls to the store a second",
		n, r.ApplyDelays[n/2].Round(time.Millisecond), r.ApplyDelays[n-1].Round(time.Millisecond), float64(r.StoreCalls)/r.Elapsed.Seconds())
}

// clientsPerMachine is the number of clients of a machine, each with one request in
// flight.
const clientsPerMachine = 3

// Run runs one soak. The error reports why it could not run; violations are in the
// report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	l := newLedger()
	f, err := newFleet(ctx, cfg, l)
	if err != nil {
		return Report{}, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return Report{}, fmt.Errorf("%w; %v", err, f.close())
	}
	start := time.Now()
	p := makePlan(cfg.Seed, cfg.Machines, cfg.Length, cfg.Plan)
	clientsCtx, stopClients := context.WithCancel(ctx)
	go l.watchStalls(clientsCtx)
	var clients sync.WaitGroup
	for i := range cfg.Machines * clientsPerMachine {
		clients.Add(1)
		go func() {
			defer clients.Done()
			newClient(f, i, cfg.Seed).run(clientsCtx)
		}()
	}
	f.playDisturbances(clientsCtx, p)
	l.lastFaultEnd = time.Now()
	sleep(ctx, faultFreeEnd)
	l.endWatches()
	stopClients()
	clients.Wait()
	f.calls.end()
	f.deadlyCallers.Wait()
	f.watchers.Wait()
	report := f.report(p, start)
	return report, f.close()
}

// playDisturbances plays the plan, and under PlanHard slows workers in turn meanwhile.
func (f *fleet) playDisturbances(ctx context.Context, p plan) {
	slowCtx, endSlow := context.WithCancel(ctx)
	defer endSlow()
	if f.hard {
		go f.slowWorkersInTurn(slowCtx)
	}
	f.playPlan(ctx, p)
}

// report checks the ledger and returns the results of a soak that began at start.
func (f *fleet) report(p plan, start time.Time) Report {
	l := f.ledger
	report := Report{
		Plan: p.String(), Violations: l.check(), Requests: len(l.order), ApplyDelays: l.applyDelays,
		ServedOf: map[string]int{}, StoreCalls: f.store.Calls(), Elapsed: time.Since(start),
	}
	for _, m := range f.machines {
		report.WorkerResets += m.worker.Resets()
	}
	for _, r := range l.order {
		if r.status == http.StatusOK {
			report.Served++
			report.ServedOf[r.class]++
		}
	}
	return report
}

// startTimeout bounds the start of the whole fleet.
const startTimeout = 20 * time.Second

// awaitReady waits until every node is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, m := range f.machines {
		for !m.ready(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("node %d is not ready after %s", m.index, startTimeout)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (m *machine) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.operator+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
