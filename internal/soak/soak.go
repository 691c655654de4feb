// Package soak runs the real node programs as separate processes against stand-ins of
// the store and the workers, harms them from outside by a plan that a seed repeats,
// and checks the promises by what clients and workers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"math/rand/v2"

	"gypsumstand/internal/upstream"
	"gypsumstand/platform/names"
	"gypsumstand/platform/standin"
)

// Config is one soak.
type Config struct {
	// Program is the node's program file.
	Program string
	// Dir takes settings and logs.
	Dir  string
	Seed uint64
	// Machines is the number of nodes, Length how long clients send.
	Machines int
	Length   time.Duration
	// Plan is the list of kinds that the plan is drawn from.
	Plan PlanVersion
}

// Report is what a soak found.
type Report struct {
	Plan       string
	Violations []string
	Requests   int
	Served     int
	// ApplyDelays are the times that versions took to be in force at machines in touch, in
	// order.
	ApplyDelays []time.Duration
	// StoreCalls counts the calls to the store, Took is how long the soak took.
	StoreCalls int
	Elapsed    time.Duration
}

// ApplySummary words how long configurations took to be in force.
func (r Report) ApplySummary() string {
	n := len(r.ApplyDelays)
	if n == 0 {
		return "no configuration at a machine in touch"
	}
	return fmt.Sprintf("configurations at machines in touch: %d, median %s, longest %s; %.1f calls to the store a second",
		n, r.ApplyDelays[n/2].Round(time.Millisecond), r.ApplyDelays[n-1].Round(time.Millisecond), float64(r.StoreCalls)/r.Elapsed.Seconds())
}

// clientsPerMachine send one request after the other.
const clientsPerMachine = 3

// Run plays one soak. The error tells why it could not be played.
func Run(ctx context.Context, cfg Config) (Report, error) {
	l := newLedger()
	f, err := newFleet(ctx, cfg, l)
	if err != nil {
		return Report{}, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return Report{}, fmt.Errorf("%w; %v", err, f.close())
	}
	began := time.Now()
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
	f.play(clientsCtx, p)
	defer f.deadly.Wait()
	l.lastEnd = time.Now()
	sleep(ctx, calmEnd)
	l.endWatches()
	stopClients()
	clients.Wait()
	f.watching.Wait()
	report := Report{Plan: p.String(), Violations: l.check(), Requests: len(l.order), ApplyDelays: l.delays, StoreCalls: f.store.Calls(), Elapsed: time.Since(began)}
	for _, r := range l.order {
		if r.status == http.StatusOK {
			report.Served++
		}
	}
	return report, f.close()
}

// startTime bounds the start of the whole fleet.
const startTime = 20 * time.Second

// awaitReady waits until every node is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, m := range f.machines {
		for !m.ready(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("node %d is not ready after %s", m.index, startTime)
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

// play makes the troubles of a plan and waits for the end of all of them.
func (f *fleet) play(ctx context.Context, p plan) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, t := range p {
		sleep(ctx, time.Until(began.Add(t.at)))
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.make(ctx, t)
		}()
	}
	wg.Wait()
	// What overlapped may have left a node down.
	for _, m := range f.machines {
		m.startAgain()
	}
}

// make makes one trouble and ends it.
func (f *fleet) make(ctx context.Context, t trouble) {
	m := f.machines[t.machine]
	switch t.kind {
	case kindConfig:
		f.configure(ctx)
		return
	case kindDeadly:
		f.startDeadly(ctx, t, deadlyClass)
		return
	case kindLate:
		f.startDeadly(ctx, t, lateClass)
		return
	case kindPair:
		f.startPair(ctx, t)
		return
	case kindForget:
		f.store.Compact()
		return
	case kindEvacuate:
		f.evacuate(ctx, t)
		return
	case kindChill:
		m.chill(t.lasts)
		return
	case kindAlone:
		f.leaveAlone(ctx, t)
		return
	case kindListed:
		if err := f.listSilent(ctx, t); err != nil {
			f.ledger.violate("soak", "silent nodes: %v", err)
		}
		return
	case kindChanges:
		f.changeAgainAndAgain(ctx, t)
		return
	case kindStoreDown, kindStoreSlow:
		defer f.ledger.begin(-1, false)()
		faults := standin.StoreFaults{Status: http.StatusServiceUnavailable}
		if t.machine%2 == 0 {
			faults = standin.StoreFaults{Hang: true}
		}
		if t.kind == kindStoreSlow {
			faults = standin.StoreFaults{Delay: 400 * time.Millisecond}
		}
		f.store.SetFaults(faults)
		sleep(ctx, t.lasts)
		f.store.SetFaults(standin.StoreFaults{})
		return
	case kindTerm, kindHangUp:
		defer f.ledger.begin(t.machine, true)()
		m.planned(t.kind)
		return
	case kindDrain:
		defer f.ledger.begin(t.machine, true)()
		m.drain(ctx)
		return
	case kindKillMany:
		f.killMany(ctx, t)
		return
	case kindForeign:
		defer f.ledger.begin(t.machine, true)()
		m.replaceEntry(ctx, t)
		return
	case kindCutConfig:
		// It begins when the machine is in reach again.
		defer f.configure(ctx)
	}
	defer f.ledger.begin(t.machine, false)()
	if t.kind.bunches() {
		defer f.ledger.bunched(t.machine)()
	}
	m.harm(ctx, t)
	sleep(ctx, t.lasts)
	m.mend(t)
}

func (m *machine) planned(k kind) {
	if k == kindHangUp {
		m.signal(syscall.SIGHUP, false)
		return
	}
	m.stopGracefully()
	m.startAgain()
}

// drainLife is how long a worker that drains goes on.
const drainLife = 3500 * time.Millisecond

func (m *machine) drain(ctx context.Context) {
	life := m.worker.ID()
	m.list(names.StateDraining)
	m.fleet.ledger.draining(life)
	sleep(ctx, drainLife)
	if m.worker.ID() == life {
		m.nextLife()
	}
}

// replaceEntry lets another writer replace the worker's entry for a while, and put one of
// an unknown service beside it.
func (m *machine) replaceEntry(ctx context.Context, t trouble) {
	id := m.worker.ID()
	m.fleet.store.Put(names.WorkerKeyPrefix+id, standin.InvalidWorkerValues[int(t.lasts)%len(standin.InvalidWorkerValues)])
	m.fleet.ledger.draining(id)
	beside := m.entry(names.StateReady)
	beside.ID, beside.Service = "beside-"+id, "nobody"
	m.fleet.store.PutWorker(beside)
	sleep(ctx, t.lasts)
	m.fleet.store.Remove(names.WorkerKeyPrefix + beside.ID)
	if m.worker.ID() == id {
		m.fleet.ledger.listed(id)
		m.list(names.StateReady)
	}
}

// killMany kills every other node at once.
func (f *fleet) killMany(ctx context.Context, t trouble) {
	for i, m := range f.machines {
		if i%2 != t.machine%2 {
			continue
		}
		defer f.ledger.begin(i, false)()
		m.signal(syscall.SIGKILL, true)
	}
	sleep(ctx, t.lasts)
	for _, m := range f.machines {
		m.startAgain()
	}
}

// harm begins a trouble of one machine.
func (m *machine) harm(ctx context.Context, t trouble) {
	wires := []*proxy{m.peerWire, m.storeWire, m.workerWire}
	each := func(w wire) {
		for _, p := range wires {
			p.set(w)
		}
	}
	switch t.kind {
	case kindKill:
		m.signal(syscall.SIGKILL, true)
	case kindPause:
		m.signal(syscall.SIGSTOP, false)
	case kindDelay:
		each(wire{delay: 30 * time.Millisecond})
	case kindReset:
		for _, p := range wires {
			p.reset()
		}
	case kindMute:
		for _, p := range wires {
			p.mute()
		}
	case kindStalls:
		m.stall(ctx, t.lasts)
	case kindReborn:
		m.crash()
	case kindCutOneWay:
		each(wire{cutFrom: true})
	case kindSilence, kindCutConfig:
		each(wire{cutTo: true, cutFrom: true})
	case kindStoreCut:
		m.storeWire.set(wire{cutTo: true, cutFrom: true})
	case kindAnswers:
		m.setSpoil(standin.ResponseFaults[int(t.lasts)%len(standin.ResponseFaults)])
	case kindShed:
		m.worker.SetShedding(true)
	case kindPace:
		m.worker.SetSlowdown(400)
	}
}

// mend ends a trouble of one machine.
func (m *machine) mend(t trouble) {
	switch t.kind {
	case kindKill:
		m.startAgain()
	case kindPause:
		m.signal(syscall.SIGCONT, false)
	case kindAnswers:
		m.setSpoil("")
	case kindShed:
		m.worker.SetShedding(false)
	case kindPace:
		m.worker.SetSlowdown(100)
	default:
		for _, p := range []*proxy{m.peerWire, m.storeWire, m.workerWire} {
			p.set(wire{})
		}
	}
}

// client sends requests to the node of its machine, over connections that it keeps.
type client struct {
	fleet   *fleet
	machine *machine
	name    string
	rng     *rand.Rand
	http    *http.Client
	sent    int
}

func newClient(f *fleet, i int, seed uint64) *client {
	return &client{
		fleet: f, machine: f.machines[i%len(f.machines)], name: fmt.Sprintf("c%d", i),
		rng:  rand.New(rand.NewPCG(seed, uint64(i)+1)),
		http: &http.Client{Transport: upstream.NewTransport(upstream.Options{MaxIdleConns: 1, DialTimeout: time.Second, IdleTimeout: 4 * time.Second})},
	}
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.ask(ctx)
		sleep(ctx, time.Duration(5+c.rng.IntN(40))*time.Millisecond)
	}
}

// draw chooses what is asked for: class and service.
func (c *client) draw() (class, service string) {
	newest := c.fleet.newest()
	switch n := c.rng.IntN(20); {
	case n < 7:
		return "order", serviceOrders
	case n < 13:
		return "browse", serviceCatalogue
	case n < 15:
		return classMoved, ""
	case n < 17:
		return classSplit, ""
	case n < 18:
		return generation(max(1, newest-c.rng.IntN(2*keptVersions))), serviceCatalogue
	}
	return generation(newest), serviceCatalogue
}

// ask sends one request and notes its end. Requests under way when the clients stop
// are waited for.
func (c *client) ask(ctx context.Context) {
	c.sent++
	class, service := c.draw()
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), class: class, service: service, machine: c.machine.index}
	c.exchange(ctx, r, fmt.Sprintf("/%s/%d?ms=%d", class, c.sent, 2+c.rng.IntN(40)), r.id)
}

// exchange sends a request with a body and notes its end.
func (c *client) exchange(ctx context.Context, r *request, uri, text string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*routeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.machine.caller+uri, io.NopCloser(strings.NewReader(text)))
	if err != nil {
		c.fleet.ledger.violate("soak", "%v", err)
		return
	}
	req.ContentLength = int64(len(text))
	req.Host = "shop.example"
	req.Header.Set(names.RequestID, r.id)
	req.Header.Set(names.Deadline, fmt.Sprint(2*routeTimeout.Milliseconds()))
	upstream.PreventReplay(req)
	c.fleet.ledger.send(r)
	resp, err := c.http.Do(req)
	if err != nil {
		c.fleet.ledger.answered(r, nil, nil, nil)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		body = nil
	} else if body == nil {
		body = []byte{}
	}
	c.fleet.ledger.answered(r, resp, body, func(service string) string { return standin.ResponseBody(service, http.MethodPost, uri, text) })
}
