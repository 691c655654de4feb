package proof

import (
	"fmt"
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/core"
	"gypsumstand/internal/health"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Intervals and timeouts of a node's process (package node).
const (
	ownerTickInterval = 10 * time.Millisecond
	leaveGrace        = 500 * time.Millisecond
	stopTimeout       = 10 * time.Second
)

// node is one position in the fleet with its worker. At most one process runs there at a
// time.
type node struct {
	w          *world
	index      int
	id         model.InstanceID
	service    model.ServiceName
	dataCentre model.DataCentre
	address    string
	worker     *worker
	clock      clock
	// process is the running process; nil when there is none.
	process *process
	starts  int
}

func newNode(w *world, index int, spec instanceSpec) *node {
	n := &node{
		w:          w,
		index:      index,
		id:         model.InstanceID(fmt.Sprintf("n%d", index)),
		service:    spec.service,
		dataCentre: spec.dataCentre,
		address:    fmt.Sprintf("10.0.0.%d:7400", index+1),
		clock:      w.newClock(),
	}
	n.worker = newWorker(n)
	return n
}

// process is one run of a node's process, which has its own incarnation.
type process struct {
	w     *world
	node  *node
	self  model.Instance
	core  *core.Node
	links *links
	alive bool

	// What arrives during a pause waits: events of the loop in order, and the work of
	// data path goroutines.
	paused        bool
	pendingEvents []control.Event
	pendingData   []func()
	pendingTick   bool
	// resumedAt is when the last pause ended.
	resumedAt time.Time
	// lastEvent is when the loop last handled an event.
	lastEvent time.Time

	// queued are the attempts in the owner's queue; jobs are all unfinished ones.
	queued map[model.AttemptID]*job
	jobs   []*job
	// arriving are the submissions that this process has not received yet.
	arriving []*submission
	// exchanges are the calls of this entry, incoming the forwarded attempts at this
	// owner, pendingResolves the calls that wait for an owner's resolution.
	exchanges         []*exchange
	incoming          []*forward
	pendingResolves   map[model.AttemptID]*pendingResolve
	forwardedVersions map[model.BundleVersion]bool
	healthTracker     *health.Tracker
	// heardLeaving is when a response first said that the worker leaves; zero for never.
	heardLeaving time.Time

	// callerClosed and peerClosed: the port accepts no new connections.
	callerClosed, peerClosed bool
	stop                     *plannedStop
}

// boot starts a process unless one runs.
func (n *node) boot() {
	if n.process != nil {
		return
	}
	w := n.w
	n.starts++
	proc := &process{
		w: w, node: n, alive: true, lastEvent: n.clock.read(w.now),
		queued:            map[model.AttemptID]*job{},
		pendingResolves:   map[model.AttemptID]*pendingResolve{},
		forwardedVersions: map[model.BundleVersion]bool{},
		healthTracker:     health.NewTracker(),
	}
	proc.self = model.Instance{
		ID: n.id, Service: n.service, DataCentre: n.dataCentre, PeerAddress: n.address,
		Incarnation: model.Incarnation(w.now.UnixMicro()),
	}
	proc.links = newLinks(proc)
	proc.core = core.New(core.Config{
		Self: proc.self, Trusted: trusted, Seeds: w.seedAddresses(), LocalDelay: nearDelay, RemoteDelay: farDelay,
		Started: proc.now(), Seed: w.rng.Uint64(), Random: w.rng.Uint64, WorkersNameRateLimits: w.options.rateLimits,
	})
	n.process = proc
	w.platform.put(n, model.StateLive)
	w.ledger.recordStart(proc)
	w.trace.add(w, "boot", n.id)
	proc.startTicks()
	proc.startPolling()
}

// instance returns the process as it introduces itself to peers.
func (p *process) instance() model.Instance { return p.core.Board.Self.Get().Instance }

// whenRunning runs f as a data path goroutine: now, or after the pause. It drops f when
// the process has ended.
func (p *process) whenRunning(f func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.pendingData = append(p.pendingData, f)
	default:
		f()
	}
}

// after runs f when d has passed on the process's clock, like a timer.
func (p *process) after(d time.Duration, f func()) {
	p.w.after(p.node.clock.worldTime(d), func() { p.whenRunning(f) })
}

// postEvent passes ev to the loop: now, or after the pause.
func (p *process) postEvent(ev control.Event) {
	switch {
	case !p.alive:
	case p.paused:
		p.pendingEvents = append(p.pendingEvents, ev)
	default:
		p.handle(ev)
	}
}

// handle stands for one iteration of the node's loop. It reports a pause before it
// handles what arrived during that pause.
func (p *process) handle(ev control.Event) {
	now := p.now()
	if gap := now.Sub(p.lastEvent); gap > control.TickInterval+control.PauseThreshold {
		p.apply(p.core.Handle(now, control.Paused{For: gap}))
	}
	p.lastEvent = now
	if !p.alive || p.intercept(ev) {
		return
	}
	p.apply(p.core.Handle(now, ev))
	if _, tick := ev.(control.Tick); tick {
		clear(p.forwardedVersions)
	}
	p.w.ledger.checkProcess(p)
}

// startTicks starts the tickers of the loop and of the owner, each with a random phase.
func (p *process) startTicks() {
	p.w.after(p.w.between(0, control.TickInterval), p.tick)
	p.w.after(p.w.between(0, ownerTickInterval), p.ownerTick)
}

func (p *process) tick() {
	if !p.alive {
		return
	}
	p.w.after(control.TickInterval, p.tick)
	if p.paused {
		p.pendingTick = true
		return
	}
	p.handle(control.Tick{})
}

func (p *process) ownerTick() {
	if !p.alive {
		return
	}
	p.w.after(ownerTickInterval, p.ownerTick)
	if !p.paused {
		p.deliver(p.core.Owner.Tick(p.now()))
	}
}

// pause stops the process for d, as SIGSTOP does.
func (p *process) pause(d time.Duration) {
	if p.paused || !p.alive {
		return
	}
	p.paused = true
	p.w.after(d, p.resume)
}

// resume ends a pause and runs everything that waited. The loop's events keep their
// order; the data path goroutines run in random order among them.
func (p *process) resume() {
	if !p.alive || !p.paused {
		return
	}
	p.paused = false
	p.resumedAt = p.w.now
	loop, data := p.pendingEvents, p.pendingData
	p.pendingEvents, p.pendingData = nil, nil
	if p.pendingTick {
		p.pendingTick = false
		loop = slices.Insert(loop, p.w.rng.IntN(len(loop)+1), control.Event(control.Tick{}))
	}
	data = append(data, func() { p.deliver(p.core.Owner.Tick(p.now())) })
	p.w.rng.Shuffle(len(data), func(i, j int) { data[i], data[j] = data[j], data[i] })
	for len(loop)+len(data) > 0 {
		if p.w.rng.IntN(len(loop)+len(data)) < len(loop) {
			ev := loop[0]
			loop = loop[1:]
			p.postEvent(ev)
			continue
		}
		f := data[0]
		data = data[1:]
		p.whenRunning(f)
	}
}

// crash ends the process at once; all its state is lost.
func (p *process) crash() {
	if !p.alive {
		return
	}
	p.alive = false
	p.node.process = nil
	p.w.platform.remove(p.node)
	p.links.closeAll()
	for _, s := range p.arriving {
		p.w.ledger.recordDisconnect(s)
	}
	for _, x := range p.exchanges {
		x.processEnded()
	}
	for _, f := range p.incoming {
		f.ownerEnded()
	}
	for _, j := range p.jobs {
		j.abort()
	}
}

// apply carries out the core's decisions and actions (package node).
func (p *process) apply(out core.Output) {
	p.deliver(out.Decisions)
	for _, a := range out.Actions {
		p.perform(a)
	}
}

func (p *process) perform(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		if _, probed := a.Message.(wire.LoadReply); probed {
			p.w.ledger.recordMeasurement(p.node)
		}
		p.links.send(a.To, a.Message)
	case control.SendDirect:
		p.links.sendTo(a.To, a.Message, func(bool) {})
	case control.OpenLink:
		p.links.open(a.Peer, a.Address)
	case control.CloseLink:
		p.links.close(a.Peer)
	case control.ReadList:
		p.w.platform.readList(p, a.Since)
	case control.ReadIndex:
		p.w.platform.readIndex(p)
	case control.ReadValue:
		p.w.platform.readValue(p, a.Name)
	case control.OutcomeResolved:
		p.handleResolveReply(a.Reply)
	case control.SendSuspectUpdate:
		p.sendSuspectUpdate(a)
	case control.Record:
		p.w.trace.add(p.w, "record", p.node.id, a.Event, a.Subject)
	}
}

// observeVersion takes a bundle version that arrived with a call (package node).
func (p *process) observeVersion(from model.InstanceID, v model.BundleVersion) {
	if v.Name == "" || p.forwardedVersions[v] {
		return
	}
	held := p.core.Board.Bundles.Get().Bundle(v.Name)
	if held != nil && held.Version >= v.Version {
		return
	}
	p.forwardedVersions[v] = true
	p.postEvent(control.VersionSeen{From: from, Version: v})
}

// leaving reports whether this process knows that its upstream is leaving.
func (p *process) leaving() bool { return p.instance().State >= model.StateLeaving }

// pendingResolve is an entry's resolution request that waits for its reply.
type pendingResolve struct{ onReply func(r wire.ResolveReply) }

// handleResolveReply passes a reply to the call that waits for it, if any.
func (p *process) handleResolveReply(r wire.ResolveReply) {
	q := p.pendingResolves[r.Attempt]
	delete(p.pendingResolves, r.Attempt)
	if q != nil {
		q.onReply(r)
	}
}
