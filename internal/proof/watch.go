package proof

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/health"
	"gypsumstand/internal/model"
)

// Bounds of polling the worker (package node, watch.go).
const (
	pollTimeout   = time.Second
	noBundlePause = 100 * time.Millisecond
	minPollPause  = 50 * time.Millisecond
)

// startPolls begins the polls of the worker's health endpoint.
func (l *life) startPolls() { l.after(0, l.pollNext) }

func (l *life) pollNext() {
	svc, b := l.core.Board.Bundles.Get().Service(l.node.service)
	if svc == nil {
		l.after(noBundlePause, l.pollNext)
		return
	}
	perSecond := b.Measuring.PerUpstreamPerSecond * b.Measuring.PollShare
	if l.w.switches.dropBudget {
		perSecond *= 10
	}
	next := func() { l.after(pollPause(perSecond), l.pollNext) }
	if !l.w.switches.dropBudget && !l.core.OwnerLimiter.AllowPoll(l.w.now) {
		next()
		return
	}
	l.poll(next)
}

func pollPause(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	return max(time.Duration(float64(time.Second)/perSecond), minPollPause)
}

// poll asks the worker once; done follows.
func (l *life) poll(done func()) {
	wk := l.node.worker
	if wk.refusesConnections() {
		l.polled(health.Poll{Refused: true})
		if !l.core.Owner.Draining() && !l.w.switches.noEvidence {
			l.core.Quarantine.WorkerCrashed(l.w.now)
			l.suspectsChanged()
		}
		done()
		return
	}
	answered, asked := false, l.w.now
	l.w.after(hopToWorker, func() {
		l.w.ledger.measured(l.node)
		wk.data(func() {
			warming := wk.warmingLeft()
			if l.w.switches.ignoreWarming {
				warming = 0
			}
			l.after(hopToWorker, func() {
				if !answered {
					answered = true
					ds, _ := l.core.Owner.ObserveWarming(l.w.now, asked, warming)
					l.deliver(ds)
					l.polled(wk.reported)
					done()
				}
			})
		})
	})
	l.after(pollTimeout, func() {
		if !answered {
			answered = true
			l.polled(health.Poll{})
			done()
		}
	})
}

func (l *life) polled(p health.Poll) {
	before := l.judge.State()
	l.changed(before, l.judge.ObservePoll(l.w.now, p))
}

// traffic takes the evidence of real work.
func (l *life) traffic(refused bool) {
	before := l.judge.State()
	l.changed(before, l.judge.ObserveTraffic(l.w.now, refused))
}

func (l *life) changed(before, after model.UpstreamState) {
	if before == after {
		return
	}
	if after == model.StateLeaving {
		l.w.ledger.leaves(l)
	}
	l.event(control.SelfStateChanged{State: after})
}
