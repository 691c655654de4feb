package owner

import "time"

// WorkerRestarted starts a new worker incarnation, under the same instance id or a new
// one. State learned from the previous incarnation is reset: its refusals and broken
// attempts, its slowdown and its failures. The new incarnation gets its slots by the slow
// start. The service times of the classes are kept, since they depend on the work more
// than on the process.
//
// Attempts at the previous incarnation go on until their connections end. The restart is
// noticed up to some seconds late, so some of them already run at the new incarnation. A
// broken one may have run, so nothing is proved about any of them, and their ends are not
// counted for the new incarnation.
func (o *Owner) WorkerRestarted(now time.Time) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.workerIncarnation++
	if o.breaker.open() && o.cfg.OnBreakerChange != nil {
		o.cfg.OnBreakerChange(false)
	}
	o.breaker = breaker{}
	o.limit.adapt = newAdaptation()
	o.limit.startWarmup(t)
	o.slowdown = slowdownTracker{slowPeriod: o.slowdown.slowPeriod}
	o.warming.until = 0
	o.rateLimit.reset()
	o.service.failures = 0
	o.dispatch(t)
	return o.takeDecisions()
}
