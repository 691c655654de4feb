package proof

import (
	"io"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// switches break, each, the code that keeps one promise, to see that the oracle
// finds it.
type switches struct {
	// dropBudget polls the worker without asking the budget.
	dropBudget bool
	// acceptCrossed takes an answer with a wrong echo, acceptCut one that was cut.
	acceptCrossed, acceptCut bool
	// brokenIsNotRun takes a broken connection for proof of "not run".
	brokenIsNotRun bool
	// forgetBar answers a settlement without barring the attempt.
	forgetBar bool
	// skipSettle places an attempt elsewhere without asking its owner.
	skipSettle bool
	// replay sends a request to the worker a second time.
	replay bool
	// forgetKeys lets owners ignore that an id is the caller's own.
	forgetKeys bool
	// ignoreLeaving lets an owner start work although it knows that it leaves.
	ignoreLeaving bool
	// cutOff ends a planned stop without waiting.
	cutOff bool
	// olderBundle puts in force whatever the configuration service lists.
	olderBundle bool
	// deaf lets one process hear of no bundle after its first.
	deaf bool
	// noEvidence lets nodes not notice that their workers end.
	noEvidence bool
	// warming gives workers a bound while they warm up; ignoreWarming lets them say that they
	// are warm all the while.
	warming, ignoreWarming bool
	// trace, when not nil, is told what happens.
	trace io.Writer
}

// breaks carries out the switches that stand between an event and the core; it
// reports whether the core is not to see the event.
func (l *life) breaks(ev control.Event) bool {
	switch e := ev.(type) {
	case control.IndexRead:
		if l.w.switches.olderBundle {
			l.putInForce(e.Versions[0].Version)
		}
		return l.deaf()
	case control.ValueRead, control.VersionSeen:
		return l.deaf()
	case control.Received:
		return l.breaksMessage(e)
	}
	return false
}

func (l *life) breaksMessage(e control.Received) bool {
	switch m := e.Message.(type) {
	case wire.Resolve:
		if l.w.switches.forgetBar {
			l.links.send(e.From, wire.ResolveReply{Attempt: m.Attempt, State: model.AttemptNeverSeen, Report: l.report()})
			return true
		}
	case wire.BundleAnnouncement, wire.BundleBody, wire.BundleList, wire.BundleCompareReply:
		return l.deaf()
	}
	return false
}

// deaf tells whether this process hears of no bundle any more.
func (l *life) deaf() bool { return l.w.switches.deaf && l.node.index == 3 && l.version() > 0 }

// putInForce writes a version to the blackboard past all checks.
func (l *life) putInForce(version uint64) {
	b, err := bundle.Open("test", l.w.platform.values[version], trusted)
	if err != nil {
		panic(err)
	}
	l.core.Board.Bundles.Put(bundle.NewSet([]*bundle.Bundle{b}))
}
