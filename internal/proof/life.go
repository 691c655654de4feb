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

// Clockwork of a node's process (package node, loop.go).
const (
	ownerTickInterval = 10 * time.Millisecond
	leaveGrace        = 500 * time.Millisecond
	stopTimeout       = 10 * time.Second
)

// node is a place of the fleet: at most one process runs there at a time, beside
// its worker.
type node struct {
	w          *world
	index      int
	id         model.InstanceID
	service    model.ServiceName
	dataCentre model.DataCentre
	address    string
	worker     *worker
	// life is the process that runs here; nil when none does.
	life  *life
	lives int
}

func newNode(w *world, index int, p place) *node {
	n := &node{
		w:          w,
		index:      index,
		id:         model.InstanceID(fmt.Sprintf("n%d", index)),
		service:    p.service,
		dataCentre: p.dataCentre,
		address:    fmt.Sprintf("10.0.0.%d:7400", index+1),
	}
	n.worker = newWorker(n)
	return n
}

// life is one process, from its start to its end: one incarnation.
type life struct {
	w     *world
	node  *node
	self  model.Instance
	core  *core.Node
	links *links
	alive bool

	// While paused, what arrives waits: events for the loop in their order, and
	// whatever goroutines of the data path would do.
	paused      bool
	loopWaiting []control.Event
	dataWaiting []func()
	tickWaiting bool
	// woke is when the process last went on after a pause.
	woke time.Time
	// lastLoop is when the loop last took an event.
	lastLoop time.Time

	// waiting are the attempts in the owner's queue, jobs all that are not over.
	waiting map[model.AttemptID]*job
	jobs    []*job
	// arriving are the callers that wait for this process to take their requests.
	arriving []*sending
	// exchanges are the calls of this entry, inbound the attempts on their way
	// to or at this owner, settling the calls that wait for an owner's word.
	exchanges []*exchange
	inbound   []*forward
	settling  map[model.AttemptID]*question
	passedOn  map[model.BundleVersion]bool
	judge     *health.Tracker

	// callerClosed and peerClosed: the ports take nothing new.
	callerClosed, peerClosed bool
	stop                     *plannedStop
}

// boot starts a process.
func (n *node) boot() {
	if n.life != nil {
		return
	}
	w := n.w
	n.lives++
	l := &life{
		w: w, node: n, alive: true, lastLoop: w.now,
		waiting:  map[model.AttemptID]*job{},
		settling: map[model.AttemptID]*question{},
		passedOn: map[model.BundleVersion]bool{},
		judge:    health.NewTracker(),
	}
	l.self = model.Instance{
		ID: n.id, Service: n.service, DataCentre: n.dataCentre, PeerAddress: n.address,
		Incarnation: model.Incarnation(w.now.UnixMicro()),
	}
	l.links = newLinks(l)
	l.core = core.New(core.Config{
		Self: l.self, Trusted: trusted, Seeds: w.seeds(), LocalDelay: nearDelay, RemoteDelay: farDelay,
		Started: w.now, Seed: w.rng.Uint64(), Random: w.rng.Uint64,
	})
	n.life = l
	w.platform.put(n, model.StateLive)
	w.ledger.born(l)
	w.trace.add(w, "boot", n.id)
	l.startTicks()
	l.startPolls()
}

// instance is this process as it greets peers.
func (l *life) instance() model.Instance { return l.core.Board.Self.Get().Instance }

// data runs f, as a goroutine of the data path would: once the process runs.
func (l *life) data(f func()) {
	switch {
	case !l.alive:
	case l.paused:
		l.dataWaiting = append(l.dataWaiting, f)
	default:
		f()
	}
}

// after is a timer of the process.
func (l *life) after(d time.Duration, f func()) {
	l.w.after(d, func() { l.data(f) })
}

// event queues ev for the loop.
func (l *life) event(ev control.Event) {
	switch {
	case !l.alive:
	case l.paused:
		l.loopWaiting = append(l.loopWaiting, ev)
	default:
		l.handle(ev)
	}
}

// handle stands for one turn of the node's loop: a pause comes before whatever
// waited meanwhile.
func (l *life) handle(ev control.Event) {
	now := l.w.now
	if gap := now.Sub(l.lastLoop); gap > control.TickInterval+control.PauseThreshold {
		l.apply(l.core.Handle(now, control.Paused{For: gap}))
	}
	l.lastLoop = now
	if !l.alive || l.breaks(ev) {
		return
	}
	l.apply(l.core.Handle(now, ev))
	if _, tick := ev.(control.Tick); tick {
		clear(l.passedOn)
	}
	l.w.ledger.looked(l)
}

// startTicks starts the loop's and the owner's ticker, each at a phase of its own.
func (l *life) startTicks() {
	l.w.after(l.w.between(0, control.TickInterval), l.tick)
	l.w.after(l.w.between(0, ownerTickInterval), l.ownerTick)
}

func (l *life) tick() {
	if !l.alive {
		return
	}
	l.w.after(control.TickInterval, l.tick)
	if l.paused {
		l.tickWaiting = true
		return
	}
	l.handle(control.Tick{})
}

func (l *life) ownerTick() {
	if !l.alive {
		return
	}
	l.w.after(ownerTickInterval, l.ownerTick)
	if !l.paused {
		l.deliver(l.core.Owner.Tick(l.w.now))
	}
}

// pause stops the process for d, as SIGSTOP would.
func (l *life) pause(d time.Duration) {
	if l.paused || !l.alive {
		return
	}
	l.paused = true
	l.w.after(d, l.wake)
}

// wake lets the process go on late: all that waited happens now. The loop's
// events keep their order; the goroutines of the data path run in any.
func (l *life) wake() {
	if !l.alive || !l.paused {
		return
	}
	l.paused = false
	l.woke = l.w.now
	loop, data := l.loopWaiting, l.dataWaiting
	l.loopWaiting, l.dataWaiting = nil, nil
	if l.tickWaiting {
		l.tickWaiting = false
		loop = slices.Insert(loop, l.w.rng.IntN(len(loop)+1), control.Event(control.Tick{}))
	}
	data = append(data, func() { l.deliver(l.core.Owner.Tick(l.w.now)) })
	l.w.rng.Shuffle(len(data), func(i, j int) { data[i], data[j] = data[j], data[i] })
	for len(loop)+len(data) > 0 {
		if l.w.rng.IntN(len(loop)+len(data)) < len(loop) {
			ev := loop[0]
			loop = loop[1:]
			l.event(ev)
			continue
		}
		f := data[0]
		data = data[1:]
		l.data(f)
	}
}

// crash ends the process at once; all its state is lost.
func (l *life) crash() {
	if !l.alive {
		return
	}
	l.alive = false
	l.node.life = nil
	l.w.platform.remove(l.node)
	l.links.closeAll()
	for _, s := range l.arriving {
		l.w.ledger.disconnected(s)
	}
	for _, x := range l.exchanges {
		x.lost()
	}
	for _, f := range l.inbound {
		f.ownerDied()
	}
	for _, j := range l.jobs {
		j.abandon()
	}
}

// apply carries out what the core wants done (package node, loop.go).
func (l *life) apply(out core.Output) {
	l.deliver(out.Decisions)
	for _, a := range out.Actions {
		l.act(a)
	}
}

func (l *life) act(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		if _, probed := a.Message.(wire.LoadReply); probed {
			l.w.ledger.measured(l.node)
		}
		l.links.send(a.To, a.Message)
	case control.SendDirect:
		l.links.sendTo(a.To, a.Message, func(bool) {})
	case control.OpenLink:
		l.links.open(a.Peer, a.Address)
	case control.CloseLink:
		l.links.close(a.Peer)
	case control.ReadList:
		l.w.platform.readList(l, a.Since)
	case control.ReadIndex:
		l.w.platform.readIndex(l)
	case control.ReadValue:
		l.w.platform.readValue(l, a.Name)
	case control.OutcomeResolved:
		l.answered(a.Reply)
	case control.SendSuspectUpdate:
		l.tellSuspects(a)
	case control.Record:
		l.w.trace.add(l.w, "record", l.node.id, a.Event, a.Subject)
	}
}

// saw is told a bundle version that rode on a call (package node, versions.go).
func (l *life) saw(from model.InstanceID, v model.BundleVersion) {
	if v.Name == "" || l.passedOn[v] {
		return
	}
	held := l.core.Board.Bundles.Get().Bundle(v.Name)
	if held != nil && held.Version >= v.Version {
		return
	}
	l.passedOn[v] = true
	l.event(control.VersionSeen{From: from, Version: v})
}

// leaving tells whether this process knows that its upstream is leaving.
func (l *life) leaving() bool { return l.instance().State >= model.StateLeaving }

// question is an entry's question about an attempt that waits for its answer.
type question struct{ answer func(r wire.ResolveReply) }

// answered stands for settler.answered; a late reply is dropped.
func (l *life) answered(r wire.ResolveReply) {
	q := l.settling[r.Attempt]
	delete(l.settling, r.Attempt)
	if q != nil {
		q.answer(r)
	}
}
