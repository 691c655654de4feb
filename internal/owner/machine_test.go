package owner

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// record is the oracle's word on one attempt.
type record struct {
	a      model.Attempt
	sentAt time.Time
	starts int
	// running: started and not finished.
	running bool
	waiting bool
	// ran: finished, and not as "not run".
	ran bool
	// notRun: some answer claimed that it did not and will not run.
	notRun bool
	// duplicate: refused as its request id was taken.
	duplicate bool
	// mustEnd is the latest time of the decision of a waiting attempt.
	mustEnd time.Time
}

// scoped is the id under which the request is remembered.
func (r *record) scoped() model.RequestID { return model.ScopedRequestID(r.a.Tenant, r.a.Request) }

// request is the oracle's word on one caller's request id: whether one of its
// attempts may be running or has run, here or where it was delegated to.
type request struct {
	taken bool
	// until: the id may be forgotten from then on; zero while running here.
	until time.Time
	// delegated is the attempt that was sent elsewhere.
	delegated *record
}

// machine offers, copies, delays and settles attempts in any order and checks
// the owner's answers against a plain ledger.
type machine struct {
	rt       *rapid.T
	rig      *rig
	slots    int
	records  []*record
	byID     map[model.AttemptID]*record
	requests map[model.RequestID]*request
	// settles were sent and have not arrived; each may arrive late.
	settles     []wire.Resolve
	incarnation model.Incarnation
	// doubtUntil: nothing may start before it.
	doubtUntil time.Time
}

func (m *machine) failf(format string, args ...any) {
	m.rt.Helper()
	m.rt.Fatalf("at %v: %s", m.rig.now.Sub(m.rig.o.cfg.Started), fmt.Sprintf(format, args...))
}

// pick draws one of the records that match; it skips the action when none does.
func (m *machine) pick(match func(*record) bool) *record {
	var found []*record
	for _, r := range m.records {
		if match(r) {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		m.rt.Skip("none")
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(m.rt, "record")]
}

// ms draws one of the given times in milliseconds.
func ms(rt *rapid.T, label string, choices ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(choices).Draw(rt, label)) * time.Millisecond
}

// Arrive sends an attempt that arrives at once.
func (m *machine) Arrive(rt *rapid.T) { m.deliver(m.send(rt)) }

// Send sends an attempt that arrives later, or never.
func (m *machine) Send(rt *rapid.T) { m.send(rt) }

// Overtaken sends an attempt whose settlement arrives before it.
func (m *machine) Overtaken(rt *rapid.T) {
	r := m.send(rt)
	m.rig.pass(ms(rt, "silence", 1, 100, 900))
	m.ask(r)
	m.settle(m.settles[len(m.settles)-1])
	m.rig.pass(ms(rt, "more", 0, 1, 500, 2000))
	m.deliver(r)
}

func (m *machine) send(rt *rapid.T) *record {
	a := m.rig.attempt()
	a.ID.Entry = rapid.SampledFrom([]model.InstanceID{"e1", "e2", "e3"}).Draw(rt, "entry")
	a.ID.Incarnation = m.incarnation
	a.Idempotent = rapid.Bool().Draw(rt, "idempotent")
	a.Class = rapid.SampledFrom([]model.ClassName{"payout", "view", "lookup", "strange"}).Draw(rt, "class")
	a.Tenant = rapid.SampledFrom([]model.TenantName{"", "big"}).Draw(rt, "tenant")
	a.Worth = rapid.SampledFrom([]float64{0, 1, 2, 3, math.NaN(), math.Inf(1), -1}).Draw(rt, "worth")
	a.Remaining = ms(rt, "remaining", 3000, 1000, 200, 3600_000, 0)
	if key := rapid.IntRange(0, 5).Draw(rt, "key"); key > 0 && !a.Idempotent {
		a.CallerKey = true
		a.Request = model.RequestID(fmt.Sprint("k", key))
		a.Delegated = rapid.IntRange(0, 7).Draw(rt, "delegated") == 7
	}
	a.OwnerClock -= ms(rt, "loose", 0, 0, 0, 1, 150)
	if a.Idempotent && rapid.IntRange(0, 3).Draw(rt, "unstamped") == 3 {
		a.OwnerClock, a.OwnerIncarnation = 0, 0
	}
	r := &record{a: *a, sentAt: m.rig.now}
	m.records = append(m.records, r)
	m.byID[a.ID] = r
	return r
}

// pickSent draws an attempt: mostly one whose time may still run.
func (m *machine) pickSent() *record {
	any := rapid.IntRange(0, 3).Draw(m.rt, "any") == 3
	return m.pick(func(r *record) bool { return any || m.rig.now.Sub(r.sentAt) < time.Second })
}

// Deliver lets an attempt's message arrive, for the first or another time.
func (m *machine) Deliver(*rapid.T) { m.deliver(m.pickSent()) }

func (m *machine) deliver(r *record) {
	if r.a.OwnerClock == 0 && m.rig.now.Sub(r.sentAt) >= r.a.Remaining {
		m.rt.Skip("the age of an attempt without a stamp is not bounded")
	}
	got := m.rig.offer(&r.a)
	m.checkNotRun(r, got.Refusal)
	switch got.Verdict {
	case Start:
		m.started(r)
	case Queue:
		if r.waiting || r.running || r.ran || r.notRun {
			m.failf("%v waits again: %+v", r.a.ID, r)
		}
		r.waiting = true
		r.mustEnd = m.rig.now.Add(r.a.Remaining)
		m.take(r)
	}
	switch got.Refusal.Reason {
	case model.ReasonDelegated:
		m.delegated(r)
	case model.ReasonDuplicateDone, model.ReasonDuplicateRunning:
		r.duplicate = r.duplicate || r.starts == 0 && !r.waiting && !r.notRun
	}
}

// take notes that a keyed attempt holds its request id.
func (m *machine) take(r *record) {
	if !r.a.CallerKey || r.a.Delegated {
		return
	}
	q := m.requests[r.scoped()]
	if q != nil && q.taken && (q.until.IsZero() || m.rig.now.Before(q.until)) {
		m.failf("%v admitted although request %s is taken: %+v", r.a.ID, r.a.Request, q)
	}
	m.requests[r.scoped()] = &request{taken: true}
}

func (m *machine) keyMemory() time.Duration { return testService().KeyMemory() }

func (m *machine) delegated(r *record) {
	deadline := m.rig.o.cfg.Started.Add(r.a.OwnerClock + min(r.a.Remaining, maxRemaining))
	m.requests[r.scoped()] = &request{taken: true, until: deadline.Add(m.keyMemory()), delegated: r}
}

func (m *machine) started(r *record) {
	if !r.waiting {
		m.take(r)
	}
	r.starts++
	if m.rig.now.Before(m.doubtUntil) {
		m.failf("%v started after a pause before a tick", r.a.ID)
	}
	if r.starts > 1 || r.notRun || m.late(r) {
		m.failf("%v must not start: %+v", r.a.ID, r)
	}
	r.waiting, r.running = false, true
	n := 0
	for _, other := range m.records {
		if other.running {
			n++
		}
	}
	if n > m.slots {
		m.failf("%d in flight over %d slots", n, m.slots)
	}
}

// late tells whether the time of an attempt is over. That of one without a stamp
// runs from its arrival, as its age is not known.
func (m *machine) late(r *record) bool {
	return r.a.OwnerClock != 0 && !m.rig.now.Before(r.sentAt.Add(r.a.Remaining))
}

func (m *machine) checkNotRun(r *record, refusal model.Refusal) {
	if !refusal.NotRun {
		return
	}
	if r.running || r.ran {
		m.failf("%v told not run (%v): %+v", r.a.ID, refusal.Reason, r)
	}
	r.notRun = true
}

// decide takes decisions on waiting attempts.
func (m *machine) decide(ds []Decision) {
	for _, d := range ds {
		r := m.byID[d.Attempt]
		if !r.waiting {
			m.failf("decision %+v on %+v", d, r)
		}
		if d.Kind == Start {
			m.started(r)
			continue
		}
		r.waiting = false
		if !d.Refusal.NotRun {
			m.failf("a waiting attempt ended without proof: %+v", d)
		}
		m.checkNotRun(r, d.Refusal)
		m.notRunEnd(r, d.Refusal.Reason == model.ReasonDelegated)
	}
}

// notRunEnd frees or delegates the request id of an admitted attempt.
func (m *machine) notRunEnd(r *record, delegated bool) {
	switch {
	case !r.a.CallerKey || r.a.Delegated:
	case delegated:
		m.delegated(r)
	default:
		delete(m.requests, r.scoped())
	}
}

func (m *machine) Finish(rt *rapid.T) {
	r := m.pick(func(r *record) bool { return r.running })
	f := Completion{ServiceTime: ms(rt, "service", 20, 5, 300), Status: 200}
	confirmed := m.rig.o.Confirm(m.rig.now, r.a.ID)
	if confirmed && m.late(r) {
		m.failf("%v confirmed after its time", r.a.ID)
	}
	f.NotRun = !confirmed || rapid.IntRange(0, 4).Draw(rt, "notRun") == 0
	f.Delegate = rapid.Bool().Draw(rt, "delegate")
	f.Shed = f.NotRun && rapid.Bool().Draw(rt, "shed")
	f.Failed = !f.NotRun && rapid.Bool().Draw(rt, "failed")
	r.running = false
	if f.NotRun {
		r.notRun = true
		m.notRunEnd(r, f.Delegate)
	} else {
		r.ran = true
		if r.a.CallerKey && !r.a.Delegated {
			m.requests[r.scoped()].until = m.rig.now.Add(m.keyMemory())
		}
	}
	m.decide(m.rig.finish(&r.a, f))
}

func (m *machine) Cancel(*rapid.T) {
	r := m.pickSent()
	waiting := r.waiting
	notRun, ds := m.rig.o.Cancel(m.rig.now, r.a.ID)
	m.decide(ds)
	if waiting && r.waiting || notRun && (r.running || r.ran) {
		m.failf("cancelled (%v): %+v", notRun, r)
	}
	r.notRun = r.notRun || notRun
}

// Ask sends a settlement.
func (m *machine) Ask(*rapid.T) { m.ask(m.pickSent()) }

func (m *machine) ask(r *record) {
	m.settles = append(m.settles, wire.Resolve{
		Attempt: r.a.ID, OwnerIncarnation: r.a.OwnerIncarnation, Request: r.a.Request,
		Remaining: r.sentAt.Add(r.a.Remaining).Sub(m.rig.now),
	})
}

// Resolve lets any of the settlements sent arrive, for the first or another time.
func (m *machine) Settle(rt *rapid.T) {
	if len(m.settles) == 0 {
		rt.Skip("none")
	}
	m.settle(m.settles[rapid.IntRange(0, len(m.settles)-1).Draw(rt, "settle")])
}

func (m *machine) settle(s wire.Resolve) {
	r := m.byID[s.Attempt]
	reply, ds := m.rig.o.Resolve(m.rig.now, s)
	m.decide(ds)
	switch reply.State {
	case model.AttemptNeverSeen, model.AttemptQueued, model.AttemptFenced:
		m.checkNotRun(r, model.Refusal{NotRun: true})
		if r.duplicate {
			m.failf("a refused duplicate settled as %v: %+v", reply.State, r)
		}
	case model.AttemptStarted:
		if !r.running {
			m.failf("settled as started: %+v", r)
		}
	case model.AttemptDone:
		if !r.ran {
			m.failf("settled as done: %+v", r)
		}
	}
}

func (m *machine) KeyResult(rt *rapid.T) {
	r := m.pick(func(r *record) bool { q := m.requests[r.scoped()]; return q != nil && q.delegated == r })
	outcome := rapid.SampledFrom([]model.Outcome{model.OutcomeAnswered, model.OutcomeNotRun, model.OutcomeUnknown}).Draw(rt, "outcome")
	if !m.rig.now.Before(m.requests[r.scoped()].until) {
		rt.Skip("lapsed")
	}
	result := wire.KeyResult{Request: r.scoped(), Attempt: r.a.ID, Outcome: outcome}
	if rapid.IntRange(0, 3).Draw(rt, "stranger") == 0 {
		result.Attempt.Entry = "stranger"
		outcome = model.OutcomeUnknown
	}
	m.rig.o.FinishDelegated(m.rig.now, result)
	switch outcome {
	case model.OutcomeNotRun:
		delete(m.requests, r.scoped())
	case model.OutcomeAnswered:
		m.requests[r.scoped()] = &request{taken: true, until: m.rig.now.Add(m.keyMemory())}
	}
}

func (m *machine) Tick(rt *rapid.T) {
	m.doubtUntil = time.Time{}
	m.decide(m.rig.tick(ms(rt, "after", 10, 10, 10, 10, 10, 0, 1, 10, 10, 100, 1000)))
	for _, r := range m.records {
		if r.waiting && !m.rig.now.Before(r.mustEnd) {
			m.failf("still waits after its time: %+v", r)
		}
	}
}

// LongTick lets records lapse.
func (m *machine) LongTick(rt *rapid.T) {
	if rapid.IntRange(0, 9).Draw(rt, "rare") < 9 {
		rt.Skip("rare")
	}
	m.doubtUntil = time.Time{}
	m.decide(m.rig.tick(70 * time.Second))
}

func (m *machine) Pause(rt *rapid.T) {
	d := ms(rt, "for", 100, 100, 1000, 5000)
	m.rig.pass(d)
	ds := m.rig.o.ProcessPaused(m.rig.now, d)
	for _, d := range ds {
		if d.Kind == Start {
			m.failf("started on waking: %+v", d)
		}
	}
	m.doubtUntil = m.rig.now.Add(pauseDoubt)
	m.decide(ds)
}

func (m *machine) ColdOrLive(rt *rapid.T) {
	s := rapid.SampledFrom([]model.UpstreamState{model.StateLive, model.StateLive, model.StateCold}).Draw(rt, "state")
	m.decide(m.rig.o.SetState(m.rig.now, s))
}

func (m *machine) Slots(rt *rapid.T) {
	svc := testService()
	svc.Slots = rapid.IntRange(1, 4).Draw(rt, "slots")
	svc.QueueLimit = rapid.IntRange(1, 6).Draw(rt, "queue")
	if svc.Slots > m.slots {
		m.slots = svc.Slots
	}
	ds := m.rig.o.Configure(m.rig.now, testBundle(svc), svc, 2)
	m.decide(ds)
	// Fewer slots bind what starts from now on; what is in flight goes on.
	running := 0
	for _, r := range m.records {
		if r.running {
			running++
		}
	}
	m.slots = max(svc.Slots, running)
}

// EntryRestart begins a new life of the entry; its old messages may still come.
func (m *machine) EntryRestart(*rapid.T) { m.incarnation++ }

func (m *machine) check(*rapid.T) {
	rep := m.rig.o.Report(m.rig.now)
	running, waiting := 0, 0
	for _, r := range m.records {
		if r.running {
			running++
		}
		if r.waiting {
			waiting++
		}
	}
	undelivered := len(m.rig.o.out)
	if int(rep.InFlight) != running || int(rep.Queued)+undelivered != waiting {
		m.failf("report %+v, but %d in flight, %d waiting, %d decisions to come", rep, running, waiting, undelivered)
	}
}

// flagDefault sets a flag of rapid unless the command line has set it.
func flagDefault(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(f.DefValue) })
}

func TestOwnerAgainstLedger(t *testing.T) {
	flagDefault(t, "rapid.seed", "1")
	flagDefault(t, "rapid.steps", "100")
	flagDefault(t, "rapid.checks", "500")
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{
			rt: rt, rig: newRig(t, testService()), slots: 2, incarnation: 1,
			byID: map[model.AttemptID]*record{}, requests: map[model.RequestID]*request{},
		}
		m.rig.o.attempts.maxRecords = rapid.SampledFrom([]int{maxEnded, 10, 3}).Draw(rt, "records")
		m.rig.o.attempts.maxEntries = rapid.SampledFrom([]int{maxEntries, 2}).Draw(rt, "entries")
		m.rig.o.keys.max = rapid.SampledFrom([]int{maxKeys, 2}).Draw(rt, "keys")
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": m.Arrive, "arrive 2": m.Arrive, "arrive 3": m.Arrive, "arrive 4": m.Arrive,
			"send": m.Send, "deliver": m.Deliver, "finish": m.Finish, "finish 2": m.Finish,
			"long tick": m.LongTick, "cancel": m.Cancel, "ask": m.Ask, "overtaken": m.Overtaken, "settle": m.Settle,
			"key result": m.KeyResult, "tick": m.Tick, "pause": m.Pause,
			"cold or live": m.ColdOrLive, "slots": m.Slots, "entry restart": m.EntryRestart,
			"": m.check,
		})
	})
}
