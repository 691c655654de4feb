package proof

import (
	"io"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// options configure a world. Except for warming, rateLimits and trace, each one is a mutation that
// disables the code behind one promise, to check that the oracle detects it.
type options struct {
	// ignoreBudget polls the worker without asking the measuring budget.
	ignoreBudget bool
	// acceptCrossed accepts a response with a wrong echo, acceptTruncated an incomplete
	// one.
	acceptCrossed, acceptTruncated bool
	// brokenMeansNotRun treats a broken connection as proof that the request has not run.
	brokenMeansNotRun bool
	// skipFence answers a resolution without fencing the attempt.
	skipFence bool
	// skipResolve retries an attempt elsewhere without asking its owner.
	skipResolve bool
	// replay sends a request to the worker a second time.
	replay bool
	// ignoreKeys makes owners ignore that a request id is the caller's own.
	ignoreKeys bool
	// ignoreLeaving lets an owner start work although it knows that it is leaving.
	ignoreLeaving bool
	// skipDrain ends a planned stop without draining.
	skipDrain bool
	// acceptOlderBundle puts every version in force that the configuration service lists.
	acceptOlderBundle bool
	// ignoreUpdates makes one process ignore all bundle updates after its first bundle.
	ignoreUpdates bool
	// ignoreCrashes keeps nodes from noticing crashes of their workers.
	ignoreCrashes bool
	// warming limits the request rate of workers while they warm up; ignoreWarming makes
	// workers report that they are warm at all times.
	warming, ignoreWarming bool
	// rateLimits lets workers name rate limits; ignoreRateLimits keeps owners from hearing
	// them.
	rateLimits, ignoreRateLimits bool
	// ignoreAnnouncements keeps owners from hearing that their workers say they leave.
	ignoreAnnouncements bool
	// clocks gives each machine a clock of its own.
	clocks bool
	// trace, when not nil, receives one line for each event of the run.
	trace io.Writer
}

// intercept applies the mutations that act on control events. It returns true when the
// core must not see the event.
func (p *process) intercept(ev control.Event) bool {
	switch e := ev.(type) {
	case control.IndexRead:
		if p.w.options.acceptOlderBundle {
			p.forceVersion(e.Versions[0].Version)
		}
		return p.ignoresUpdates()
	case control.ValueRead, control.VersionSeen:
		return p.ignoresUpdates()
	case control.Received:
		return p.interceptMessage(e)
	}
	return false
}

func (p *process) interceptMessage(e control.Received) bool {
	switch m := e.Message.(type) {
	case wire.Resolve:
		if p.w.options.skipFence {
			p.links.send(e.From, wire.ResolveReply{Attempt: m.Attempt, State: model.AttemptNeverSeen, Report: p.report()})
			return true
		}
	case wire.BundleAnnouncement, wire.BundleBody, wire.BundleList, wire.BundleCompareReply:
		return p.ignoresUpdates()
	}
	return false
}

// ignoresUpdates reports whether this process ignores bundle updates.
func (p *process) ignoresUpdates() bool {
	return p.w.options.ignoreUpdates && p.node.index == 3 && p.version() > 0
}

// forceVersion puts a version in force without any checks.
func (p *process) forceVersion(version uint64) {
	b, err := bundle.Open("test", p.w.platform.values[version], trusted)
	if err != nil {
		panic(err)
	}
	p.core.Board.Bundles.Put(bundle.NewSet([]*bundle.Bundle{b}))
}
