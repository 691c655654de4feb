// Package soak runs the real node programs as separate processes against stand-ins of the
// store and the workers, injects faults from outside by a plan that a seed reproduces,
// and checks the nodes' guarantees by what clients and workers observe.
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
	f.playPlan(clientsCtx, p)
	defer f.deadlyCallers.Wait()
	l.lastFaultEnd = time.Now()
	sleep(ctx, faultFreeEnd)
	l.endWatches()
	stopClients()
	clients.Wait()
	f.watchers.Wait()
	report := Report{
		Plan: p.String(), Violations: l.check(), Requests: len(l.order), ApplyDelays: l.applyDelays,
		StoreCalls: f.store.Calls(), Elapsed: time.Since(start),
	}
	for _, r := range l.order {
		if r.status == http.StatusOK {
			report.Served++
		}
	}
	return report, f.close()
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

// playPlan injects the faults of a plan and waits until all of them are over.
func (f *fleet) playPlan(ctx context.Context, p plan) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, flt := range p {
		sleep(ctx, time.Until(start.Add(flt.at)))
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.injectFault(ctx, flt)
		}()
	}
	wg.Wait()
	// Overlapping faults may have left a node down.
	for _, m := range f.machines {
		m.startNodeIfDown()
	}
}

// injectFault injects one fault and ends it after its duration.
func (f *fleet) injectFault(ctx context.Context, flt fault) {
	m := f.machines[flt.machine]
	switch flt.kind {
	case kindConfig:
		f.configure(ctx)
		return
	case kindDeadly:
		f.startDeadly(ctx, flt, deadlyClass)
		return
	case kindDeadlyLate:
		f.startDeadly(ctx, flt, lateClass)
		return
	case kindDeadlyPair:
		f.startDeadlyPair(ctx, flt)
		return
	case kindCompact:
		f.store.Compact()
		return
	case kindEvacuate:
		f.evacuate(ctx, flt)
		return
	case kindWorkerCold:
		m.setCold(flt.duration)
		return
	case kindRateLimit:
		m.limitWorker(ctx, flt)
		return
	case kindRestore:
		f.restore(ctx, flt)
		return
	case kindAnnounce:
		defer f.ledger.beginFault(flt.machine, true)()
		m.announceLeaving(ctx)
		return
	case kindIsolate:
		f.isolate(ctx, flt)
		return
	case kindUnresponsivePeers:
		if err := f.listUnresponsive(ctx, flt); err != nil {
			f.ledger.recordViolation("soak", "open unresponsive nodes: %v", err)
		}
		return
	case kindConfigSeries:
		f.configureRepeatedly(ctx, flt)
		return
	case kindStoreDown, kindStoreSlow:
		defer f.ledger.beginFault(-1, false)()
		faults := standin.StoreFaults{Status: http.StatusServiceUnavailable}
		if flt.machine%2 == 0 {
			faults = standin.StoreFaults{Hang: true}
		}
		if flt.kind == kindStoreSlow {
			faults = standin.StoreFaults{Delay: 400 * time.Millisecond}
		}
		f.store.SetFaults(faults)
		sleep(ctx, flt.duration)
		f.store.SetFaults(standin.StoreFaults{})
		return
	case kindTerm, kindHangUp:
		defer f.ledger.beginFault(flt.machine, true)()
		m.stopOrReload(flt.kind)
		return
	case kindWorkerDrain:
		defer f.ledger.beginFault(flt.machine, true)()
		m.drainWorker(ctx)
		return
	case kindKillMany:
		f.killMany(ctx, flt)
		return
	case kindForeignWriter:
		defer f.ledger.beginFault(flt.machine, true)()
		m.replaceEntry(ctx, flt)
		return
	case kindPartitionConfig:
		// The configuration is written once the machine is reachable again.
		defer f.configure(ctx)
	}
	defer f.ledger.beginFault(flt.machine, false)()
	if flt.kind.causesBursts() {
		defer f.ledger.beginBursts(flt.machine)()
	}
	m.applyFault(ctx, flt)
	sleep(ctx, flt.duration)
	m.endFault(flt)
}

func (m *machine) stopOrReload(k kind) {
	if k == kindHangUp {
		m.signalNode(syscall.SIGHUP, false)
		return
	}
	m.stopNode()
	m.startNodeIfDown()
}

// drainDuration is how long a worker drains before it is replaced.
const drainDuration = 3500 * time.Millisecond

func (m *machine) drainWorker(ctx context.Context) {
	id := m.worker.ID()
	m.worker.SetLeaving()
	m.listWorker(names.StateDraining)
	m.fleet.ledger.recordDraining(id)
	sleep(ctx, drainDuration)
	if m.worker.ID() == id {
		m.replaceWorker()
	}
}

// announceLeaving makes a worker say in its responses that it is leaving, while its entry
// stays as it is, and replaces it.
func (m *machine) announceLeaving(ctx context.Context) {
	id := m.worker.ID()
	m.worker.SetLeaving()
	sleep(ctx, maxDrainTime+drainDuration)
	if m.worker.ID() == id {
		m.replaceWorker()
	}
}

// replaceEntry simulates another writer that replaces the worker's entry for a while and
// adds an entry of an unknown service.
func (m *machine) replaceEntry(ctx context.Context, flt fault) {
	id := m.worker.ID()
	m.setEntryReplaced(true)
	defer m.setEntryReplaced(false)
	m.fleet.store.Put(names.WorkerKeyPrefix+id,
		standin.InvalidWorkerValues[int(flt.duration)%len(standin.InvalidWorkerValues)])
	m.fleet.ledger.recordDraining(id)
	extra := m.workerEntry(names.StateReady)
	extra.ID, extra.Service = "beside-"+id, "nobody"
	m.fleet.store.PutWorker(extra)
	sleep(ctx, flt.duration)
	m.fleet.store.Remove(names.WorkerKeyPrefix + extra.ID)
	if m.worker.ID() == id {
		m.fleet.ledger.recordListed(id)
		m.listWorker(names.StateReady)
	}
}

// killMany kills every other node at once.
func (f *fleet) killMany(ctx context.Context, flt fault) {
	for i, m := range f.machines {
		if i%2 != flt.machine%2 {
			continue
		}
		defer f.ledger.beginFault(i, false)()
		m.signalNode(syscall.SIGKILL, true)
	}
	sleep(ctx, flt.duration)
	for _, m := range f.machines {
		m.startNodeIfDown()
	}
}

// applyFault begins a fault of one machine.
func (m *machine) applyFault(ctx context.Context, flt fault) {
	proxies := []*proxy{m.peerProxy, m.storeProxy, m.workerProxy}
	setAll := func(faults linkFaults) {
		for _, p := range proxies {
			p.setFaults(faults)
		}
	}
	switch flt.kind {
	case kindKill:
		m.signalNode(syscall.SIGKILL, true)
	case kindPause:
		m.signalNode(syscall.SIGSTOP, false)
	case kindDelay:
		setAll(linkFaults{delay: 30 * time.Millisecond})
	case kindReset:
		for _, p := range proxies {
			p.resetAll()
		}
	case kindMute:
		for _, p := range proxies {
			p.muteOpen()
		}
	case kindStallSeries:
		m.stallRepeatedly(ctx, flt.duration)
	case kindWorkerRestart:
		m.restartWorker()
	case kindCutOneWay:
		setAll(linkFaults{blockFromFar: true})
	case kindPartition, kindPartitionConfig:
		setAll(linkFaults{blockToFar: true, blockFromFar: true})
	case kindStoreCut:
		m.storeProxy.setFaults(linkFaults{blockToFar: true, blockFromFar: true})
	case kindBadResponses:
		m.setResponseFault(standin.ResponseFaults[int(flt.duration)%len(standin.ResponseFaults)])
	case kindWorkerShed:
		m.worker.SetShedding(true)
	case kindWorkerSlow:
		m.worker.SetSlowdown(400)
	}
}

// endFault ends a fault of one machine.
func (m *machine) endFault(flt fault) {
	switch flt.kind {
	case kindKill:
		m.startNodeIfDown()
	case kindPause:
		m.signalNode(syscall.SIGCONT, false)
	case kindBadResponses:
		m.setResponseFault("")
	case kindWorkerShed:
		m.worker.SetShedding(false)
	case kindWorkerSlow:
		m.worker.SetSlowdown(100)
	default:
		for _, p := range []*proxy{m.peerProxy, m.storeProxy, m.workerProxy} {
			p.setFaults(linkFaults{})
		}
	}
}

// client sends requests to the node of its machine over persistent connections.
type client struct {
	fleet     *fleet
	machine   *machine
	name      string
	rng       *rand.Rand
	http      *http.Client
	sentCount int
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
		c.sendNext(ctx)
		sleep(ctx, time.Duration(5+c.rng.IntN(40))*time.Millisecond)
	}
}

// drawRequest draws the class and the service of the next request.
func (c *client) drawRequest() (class, service string) {
	version := c.fleet.newest()
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
		return generationClass(max(1, version-c.rng.IntN(2*generationVersions))), serviceCatalogue
	}
	return generationClass(version), serviceCatalogue
}

// sendNext sends one request and records its result. Requests in flight are completed
// after the clients stop.
func (c *client) sendNext(ctx context.Context) {
	c.sentCount++
	class, service := c.drawRequest()
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sentCount), class: class, service: service, machine: c.machine.index}
	c.send(ctx, r, fmt.Sprintf("/%s/%d?ms=%d", class, c.sentCount, 2+c.rng.IntN(40)), r.id)
}

// send sends a request with a body and records its result.
func (c *client) send(ctx context.Context, r *request, uri, text string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*routeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.machine.caller+uri, io.NopCloser(strings.NewReader(text)))
	if err != nil {
		c.fleet.ledger.recordViolation("soak", "%v", err)
		return
	}
	req.ContentLength = int64(len(text))
	req.Host = "shop.example"
	req.Header.Set(names.RequestID, r.id)
	req.Header.Set(names.Deadline, fmt.Sprint(2*routeTimeout.Milliseconds()))
	upstream.PreventReplay(req)
	c.fleet.ledger.recordSend(r)
	resp, err := c.http.Do(req)
	if err != nil {
		c.fleet.ledger.recordResponse(r, nil, nil, nil)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		body = nil
	} else if body == nil {
		body = []byte{}
	}
	c.fleet.ledger.recordResponse(r, resp, body, func(service string) string { return standin.ResponseBody(service, http.MethodPost, uri, text) })
}
