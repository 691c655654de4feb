package node

import (
	"context"
	"errors"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/core"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// ownerTickInterval is how often the owner checks the queue for expired attempts.
const ownerTickInterval = 10 * time.Millisecond

// loop is the only goroutine that feeds events to the core.
func (n *Node) loop() {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	last := n.clock()
	for {
		var ev control.Event
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			ev = control.Tick{}
		case <-n.core.Quarantine.Changed():
			ev = control.SuspectsChanged{}
		case ev = <-n.events:
		}
		now := n.clock()
		n.checkSuspension(last, now)
		// A pause is handled before the event that waited during it, whether tick or
		// message.
		if gap := now.at.Sub(last.at); gap > control.TickInterval+control.PauseThreshold {
			event.Log(&n.log, event.Paused).Int("milliseconds", gap.Milliseconds()).Send()
			n.apply(n.core.Handle(now.at, control.Paused{For: gap}))
		}
		last = now
		n.handle(now.at, ev)
	}
}

// handle feeds one event to the core.
func (n *Node) handle(now time.Time, ev control.Event) {
	defer n.calls.reset(ev)
	n.logDroppedHints()
	if e, ok := ev.(control.SelfStateChanged); ok && e.State >= model.StateLeaving {
		n.leaveBegun = true
	}
	completed := false
	defer func() { n.noteLeavingHandled(completed) }()
	n.apply(n.core.Handle(now, ev))
	completed = true
}

// noteLeavingHandled ends a stop's wait for the core once that has handled "leaving", which
// it does when request ids have been handed over, or has panicked since "leaving". An earlier
// panic is itself a reason to stop, and that stop hands the ids over.
func (n *Node) noteLeavingHandled(completed bool) {
	if !completed && n.leaveBegun || completed && n.self().State >= model.StateLeaving {
		n.leavingHandled.Store(true)
	}
}

// ownerTicks calls the owner's Tick.
func (n *Node) ownerTicks() {
	ticker := time.NewTicker(ownerTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.executor.Deliver(n.core.Owner.Tick(time.Now()))
			n.watch.sampleForQueue()
		}
	}
}

// apply executes the actions that the core requests.
func (n *Node) apply(out core.Output) {
	n.executor.Deliver(out.Decisions)
	if svc, _ := n.core.Board.Bundles.Get().Service(n.cfg.Service); svc != nil {
		n.executor.Configure(svc, n.cfg.Instance)
	}
	for _, a := range out.Actions {
		n.execute(a)
	}
}

func (n *Node) execute(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		n.links.Send(a.To, a.Message)
	case control.SendDirect:
		n.directsInFlight.Add(1)
		n.start(func() { n.sendDirect(a) })
	case control.OpenLink:
		n.links.Open(a.Peer, a.Address)
	case control.CloseLink:
		n.links.CloseLink(a.Peer)
	case control.ReadList:
		n.start(func() { n.readList(a.Since) })
	case control.ReadIndex:
		n.start(n.readIndex)
	case control.ReadValue:
		n.start(func() { n.readValue(a.Name) })
	case control.ReadDirectory:
		n.start(func() { n.readDirectory(a.After) })
	case control.RequestPeerDirectory:
		n.start(func() { n.requestPeerDirectory(a) })
	case control.RequestPeerConfig:
		n.start(func() { n.requestPeerConfig(a.Peer) })
	case control.ReadConfig:
		n.startConfigRead()
	case control.CancelConfigRead:
		n.cancelConfigRead()
	case control.DecodeConfig:
		n.start(func() { n.decodeConfigForCore(a.Raw) })
	case control.ProbeReachability:
		n.start(func() { n.probeReachability(a.Owner) })
	case control.OwnerUnreachable:
		n.unreachableSignal.Raise(a.Owner)
	case control.SendSuspectUpdate:
		n.start(func() { n.sendSuspects(a) })
	case control.OutcomeResolved:
		n.resolver.deliver(a.Reply)
	case control.Record:
		n.record(a)
	}
}

// directTimeout bounds opening a transient link for one message.
const directTimeout = time.Second

// sendDirect sends one message without retry; the component that requested it repeats it
// if necessary.
func (n *Node) sendDirect(a control.SendDirect) {
	defer n.directsInFlight.Add(-1)
	ctx, cancel := context.WithTimeout(n.ctx, directTimeout)
	defer cancel()
	if err := n.links.SendTo(ctx, a.To, a.Message); err != nil {
		n.links.Counters.Dropped.Add(1)
	}
}

func (n *Node) record(r control.Record) {
	line := event.Log(&n.log, r.Event).Str("subject", r.Subject)
	if r.Detail != "" {
		line = line.Str("detail", r.Detail)
	}
	if r.Err != nil {
		line = line.Err(r.Err)
	}
	line.Send()
}

func (n *Node) readList(since uint64) {
	read, err := n.list.List(n.ctx, since)
	if err != nil {
		n.sink(control.ListReadFailed{Err: err})
		return
	}
	n.sink(read)
}

func (n *Node) readIndex() {
	read, err := n.config.Index(n.ctx)
	if err != nil {
		n.sink(control.IndexReadFailed{Err: err})
		return
	}
	n.sink(read)
}

func (n *Node) readValue(name model.BundleName) {
	data, err := n.config.Value(n.ctx, name)
	if err != nil {
		n.sink(control.ValueReadFailed{Name: name, Err: err})
		return
	}
	n.sink(control.ValueRead{Name: name, Data: data})
}

var errStopped = errors.New("node is stopping")
