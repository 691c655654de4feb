package proof

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/health"
	"gypsumstand/internal/model"
)

// Limits of polling the worker (package node).
const (
	pollTimeout   = time.Second
	noBundlePause = 100 * time.Millisecond
	minPollPause  = 50 * time.Millisecond
)

// startPolling starts polling the worker's health endpoint.
func (p *process) startPolling() { p.after(0, p.pollNext) }

func (p *process) pollNext() {
	svc, b := p.core.Board.Bundles.Get().Service(p.node.service)
	if svc == nil {
		p.after(noBundlePause, p.pollNext)
		return
	}
	perSecond := b.Measuring.PerUpstreamPerSecond * b.Measuring.PollShare
	if p.w.options.ignoreBudget {
		perSecond *= 10
	}
	next := func() { p.after(pollPause(perSecond), p.pollNext) }
	if !p.w.options.ignoreBudget && !p.core.OwnerLimiter.AllowPoll(p.now()) {
		next()
		return
	}
	p.poll(next)
}

func pollPause(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	return max(time.Duration(float64(time.Second)/perSecond), minPollPause)
}

// poll polls the worker once and then calls done.
func (p *process) poll(done func()) {
	wk := p.node.worker
	if wk.refusesConnections() {
		p.observePoll(health.Poll{Refused: true})
		if !p.core.Owner.Draining() && !p.w.options.ignoreCrashes {
			p.core.Quarantine.WorkerCrashed(p.now())
			p.suspectsChanged()
		}
		done()
		return
	}
	replied, askedAt := false, p.now()
	p.w.after(workerDelay, func() {
		p.w.ledger.recordMeasurement(p.node)
		wk.whenRunning(func() {
			warming := wk.warmingLeft()
			if p.w.options.ignoreWarming {
				warming = 0
			}
			limit := wk.rateLimitInHealth()
			p.after(workerDelay, func() {
				if !replied {
					replied = true
					ds, _ := p.core.Owner.ObserveWarming(p.now(), askedAt, warming)
					p.deliver(ds)
					p.observePolledRateLimit(askedAt, limit)
					p.observePoll(wk.reported)
					done()
				}
			})
		})
	})
	p.after(pollTimeout, func() {
		if !replied {
			replied = true
			p.observePoll(health.Poll{})
			done()
		}
	})
}

func (p *process) observePoll(poll health.Poll) {
	before := p.healthTracker.State()
	p.stateChanged(before, p.healthTracker.ObservePoll(p.now(), poll))
}

// observeTraffic reports the result of a request to the health tracker.
func (p *process) observeTraffic(refused bool) {
	before := p.healthTracker.State()
	p.stateChanged(before, p.healthTracker.ObserveTraffic(p.now(), refused))
}

func (p *process) stateChanged(before, after model.UpstreamState) {
	if before == after {
		return
	}
	if after == model.StateLeaving {
		p.w.ledger.recordLeaving(p)
	}
	p.postEvent(control.SelfStateChanged{State: after})
}
