package owner

import "time"

// WorkerRestarted says that another life of the worker has begun, under the same id or a new
// one. What was learned of the life before is forgotten: its refusals and breaks, its
// pace, its failures; the new one gets its slots by the slow start. The classes'
// service times stay, since they say more of the work than of a life.
//
// Attempts at the life before go on until their connections end: the news comes up to
// some seconds late, so some of them are at the new life. Nothing is proved of them; one
// that breaks may have run. Their ends say nothing of the new life.
func (o *Owner) WorkerRestarted(now time.Time) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.life++
	if o.breaker.open() && o.cfg.OnBreakerChange != nil {
		o.cfg.OnBreakerChange(false)
	}
	o.breaker = breaker{}
	o.limit.adapt = newAdaptation()
	o.limit.warm(t)
	o.pace = pacing{spell: o.pace.spell}
	o.warming.until = 0
	o.speed.failures = 0
	o.dispatch(t)
	return o.take()
}
