package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"gypsumstand/platform/names"
	"gypsumstand/platform/standin"
)

// Classes of PlanHard (docs/design/hard-load.md). Runs of boards call lookups at the other
// service.
const (
	classUpload = "upload"
	classBoard  = "board"
	classLookup = "lookup"
)

// Load of PlanHard.
const (
	// hardSlots is the number of slots of a worker.
	hardSlots = 6
	// meanUpload and maxUpload are lengths of uploads in bytes.
	meanUpload = 60_000
	maxUpload  = 360_000
	// lookupWorkMs is the usual work of a lookup, minWorkMs and maxWorkMs the bounds of that of
	// the clients' requests, in milliseconds.
	lookupWorkMs = 24
	minWorkMs    = 20
	maxWorkMs    = 100
	// slowFactor multiplies the work of a slow worker. One worker in slowEvery is slow at a
	// time, for slowTurn.
	slowFactor = 4
	slowTurn   = 300 * time.Millisecond
	slowEvery  = 4
	// callsInTenRuns is the number of ten runs of boards that make a call.
	callsInTenRuns = 7
	// surgeClients is the number of clients that a surge adds at each machine: with the others
	// nearly twice as many requests in flight as there are slots.
	surgeClients = 8
	// surgePause is the pause of such a client between two requests.
	surgePause = 100 * time.Millisecond
)

// hardKinds are the kinds that plans of PlanHard are drawn from.
var hardKinds = []kind{
	kindSurge, kindSurge, kindSurge, kindTerm, kindTerm, kindTerm, kindKill, kindKill, kindKillMany, kindPause, kindReset, kindHangUp,
	kindWorkerCrash, kindWorkerCrash, kindWorkerRestart, kindWorkerDrain, kindAnnounce, kindConfig,
}

// hard reports whether the fleet has the routes, the slots and the calls of PlanHard.
func (v PlanVersion) hard() bool { return v == PlanHard }

// hardClasses are the classes that the configuration has only under PlanHard.
var hardClasses = []string{classUpload, classBoard, classLookup}

// hardPriorities are the priorities of classes under PlanHard; others have priority 1.
var hardPriorities = map[string]int{"order": 0, classBoard: 2, classSplit: 2}

// runsAtMostOnce reports whether requests of a class must not run twice.
func runsAtMostOnce(class string) bool { return class == "order" || class == classUpload }

// uploadText is the text of which bodies of uploads are parts, so that they need no memory of
// their own.
var uploadText = sync.OnceValue(func() string {
	rng := rand.New(rand.NewPCG(1, 1))
	text := make([]byte, 2*maxUpload)
	for i := range text {
		text[i] = byte('a' + rng.IntN(26))
	}
	return string(text)
})

// drawHardRequest draws a request of PlanHard and returns its path, query and body.
func (c *client) drawHardRequest() (class, service, uri, body string) {
	class, service = classBoard, serviceCatalogue
	body = fmt.Sprintf("%s-%d", c.name, c.sentCount)
	switch n := c.rng.IntN(20); {
	case n < 5:
		class, service = "order", serviceOrders
	case n < 8:
		class, service = classUpload, serviceOrders
		from, size := c.rng.IntN(maxUpload), min(int(c.rng.ExpFloat64()*meanUpload), maxUpload)
		body = uploadText()[from : from+size]
	case n < 10:
		class, service = classSplit, ""
	case n < 13:
		class = "browse"
	}
	return class, service, fmt.Sprintf("/%s/%d?ms=%d", class, c.sentCount, minWorkMs+c.rng.IntN(maxWorkMs-minWorkMs)), body
}

// surge adds clients at all machines for the duration of the fault.
func (f *fleet) surge(ctx context.Context, flt fault) {
	ctx, cancel := context.WithTimeout(ctx, flt.duration)
	defer cancel()
	var clients sync.WaitGroup
	for i := range surgeClients * len(f.machines) {
		c := newClient(f, i, uint64(flt.at))
		c.name = fmt.Sprintf("s%d-%d", flt.at.Milliseconds(), i)
		clients.Go(func() {
			defer c.http.CloseIdleConnections()
			for ctx.Err() == nil {
				c.sendNext(ctx)
				sleep(ctx, surgePause)
			}
		})
	}
	clients.Wait()
}

// slowWorkersInTurn makes a quarter of the workers slow, another one in each turn, until ctx
// ends.
func (f *fleet) slowWorkersInTurn(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		for i, m := range f.machines {
			factor := 1
			if (i+turn)%slowEvery == 0 {
				factor = slowFactor
			}
			m.worker.SetWorkFactor(factor)
		}
		sleep(ctx, slowTurn)
	}
	for _, m := range f.machines {
		m.worker.SetWorkFactor(1)
	}
}

// crash crashes a machine's worker and waits until it is back.
func (m *machine) crash(ctx context.Context, flt fault) {
	defer m.fleet.ledger.beginFault(flt.machine, false)()
	m.crashWorker()
	sleep(ctx, restartDelay+minDuration)
}

// workerCalls tracks the calls of workers.
type workerCalls struct {
	mu      sync.Mutex
	ended   bool
	count   int
	running sync.WaitGroup
}

// begin returns the number of a new call, or false once calls have ended.
func (w *workerCalls) begin() (number int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return 0, false
	}
	w.count++
	w.running.Add(1)
	return w.count, true
}

// end lets no more calls begin and waits for those that run.
func (w *workerCalls) end() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.running.Wait()
}

// call implements standin.WorkerConfig.Call: it makes the call of a board through the
// machine's own node.
func (m *machine) call(run standin.Run) bool {
	if !strings.HasPrefix(run.Request.URL.Path, "/"+classBoard+"/") {
		return true
	}
	n, ok := m.fleet.calls.begin()
	if !ok {
		return false
	}
	defer m.fleet.calls.running.Done()
	if n%10 >= callsInTenRuns {
		return true
	}
	c := m.workerClient
	r := &request{id: fmt.Sprintf("%s.%d", run.ID, n), class: classLookup, service: serviceOrders, machine: m.index}
	c.send(context.Background(), r, fmt.Sprintf("/%s/%d?ms=%d", classLookup, n, lookupWorkMs), r.id)
	return r.status == 200
}

// hardWorkerConfig adds to a worker's configuration what PlanHard needs.
func (m *machine) hardWorkerConfig(cfg standin.WorkerConfig) standin.WorkerConfig {
	m.workerClient = &client{fleet: m.fleet, machine: m, http: newHTTPClient()}
	cfg.Slots, cfg.Call = hardSlots, m.call
	// An answer of over 64 KiB is streamed, and may be cut off by its deadline.
	cfg.ShortResponses = true
	return cfg
}

// kindOf returns the kind of a class's route.
func kindOf(class string) string {
	switch class {
	case "order":
		return names.KindNotIdempotent
	case classUpload:
		return names.KindUpload
	}
	return names.KindIdempotent
}

// checkBody checks the body with which a worker runs a request.
func (l *ledger) checkBody(r *request, run standin.Run) {
	if run.Body != r.body {
		l.addViolation("body", "%s (%s) reached %s with a body of %d bytes that differs from the %d sent", r.id, r.class, run.Worker, len(run.Body), len(r.body))
	}
}
