package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/task"
	"gypsumstand/internal/wire"
)

func TestCallerCancellationIsNoUpstreamFailure(t *testing.T) {
	now := time.Now()
	b := &bundle.Bundle{
		Name: "b", Version: 1,
		Classes:  []bundle.Class{{Name: "view", DeadlineMs: 1000}},
		Services: []bundle.Service{{Name: "shop", Slots: 2}},
	}
	target := bundle.Target{Bundle: b, Service: &b.Services[0], Class: &b.Classes[0], Idempotent: true}
	failures := map[string]time.Duration{}
	for name, cause := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"caller gone":       context.WithCancel,
		"connection broken": func(ctx context.Context) (context.Context, context.CancelFunc) { return ctx, func() {} },
	} {
		table := route.NewTable(route.Config{Self: "e"})
		up := model.Instance{ID: "w1", Service: "shop", State: model.StateLive}
		table.Update(now, &model.Fleet{Instances: []model.Instance{up}}, bundle.NewSet([]*bundle.Bundle{b}))
		engine := entry.NewEngine(entry.Config{Self: model.Instance{ID: "e", Incarnation: 1}}, table)
		call := engine.Begin(now, entry.Request{ID: "r", Target: target, Timeout: time.Second, Idempotent: true, Replayable: true})
		step := call.Next(now)
		log := zerolog.Nop()
		c := &callRunner{exchange: &exchange{caller: &CallerHandler{RequestLog: &log}}, call: call}
		ctx, cancel := cause(context.Background())
		cancel()
		c.interrupted(ctx, now, step, errors.New("broken"))
		for _, e := range table.Explain(now, &route.Query{Service: "shop"}) {
			failures[name] = e.Failure
		}
	}
	if failures["caller gone"] != 0 || failures["connection broken"] == 0 {
		t.Errorf("expected loss by failure: %v", failures)
	}
}

func TestTransitExcludesOwnerAndWorkerTime(t *testing.T) {
	for _, tt := range []struct {
		name      string
		elapsed   time.Duration
		ownerTime wire.AttemptTimes
		want      time.Duration
	}{
		{"response at once", 605 * time.Millisecond, wire.AttemptTimes{Queued: 200 * time.Millisecond, Worker: 400 * time.Millisecond}, 5 * time.Millisecond},
		{"delayed behind a cut link", 3 * time.Second, wire.AttemptTimes{Worker: 500 * time.Millisecond}, 2500 * time.Millisecond},
		{"refused after an unreported wait", 300 * time.Millisecond, wire.AttemptTimes{}, 300 * time.Millisecond},
		{"rounding differences", time.Millisecond, wire.AttemptTimes{Worker: 2 * time.Millisecond}, 0},
	} {
		if got := transit(tt.elapsed, tt.ownerTime); got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
}

// A panic in an attempt beside a hedge, or in the hedge, ended the process and with it
// every request in flight, because both run outside a handler's goroutine. Without a
// hedge it cut off the caller.
func TestAttemptPanicCountsAsBrokenAttempt(t *testing.T) {
	now := time.Now()
	for name, hedgeAt := range map[string]time.Time{"alone": {}, "to be hedged": now.Add(time.Hour)} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			c, step := panickingRunner(now, &log)
			step.HedgeAt = hedgeAt
			result, reported, err := c.attemptHedged(t.Context(), step)
			var panicked *task.PanicError
			if result.Response != nil || reported || !errors.As(err, &panicked) || panicked.Value != "the cause" {
				t.Errorf("%+v, reported %v, error %v", result, reported, err)
			}
			if line := log.String(); !strings.Contains(line, `"event":111,`) || !strings.Contains(line, "the cause") {
				t.Errorf("log %q", line)
			}
		})
	}
}

func TestHedgePanicEndsWithUnknownOutcome(t *testing.T) {
	var log bytes.Buffer
	c, _ := panickingRunner(time.Now(), &log)
	c.caller.AttemptUnanswered = func(model.Instance, model.Reason) { panic("another cause") }
	if step := c.runRecovering(t.Context()); step.Kind != entry.StepEnd || step.Outcome != model.OutcomeUnknown {
		t.Errorf("ends with %+v", step)
	}
	if line := log.String(); !strings.Contains(line, "another cause") {
		t.Errorf("log %q", line)
	}
}

// panickingRunner returns a callRunner whose attempts panic, and the first step of its
// call.
func panickingRunner(now time.Time, out io.Writer) (*callRunner, entry.Step) {
	b := &bundle.Bundle{
		Name: "b", Version: 1,
		Classes:  []bundle.Class{{Name: "view", DeadlineMs: 60_000}},
		Services: []bundle.Service{{Name: "shop", Slots: 2}},
	}
	target := bundle.Target{Bundle: b, Service: &b.Services[0], Class: &b.Classes[0], Idempotent: true}
	table := route.NewTable(route.Config{Self: "e"})
	up := model.Instance{ID: "w1", Service: "shop", State: model.StateLive}
	table.Update(now, &model.Fleet{Instances: []model.Instance{up}}, bundle.NewSet([]*bundle.Bundle{b}))
	engine := entry.NewEngine(entry.Config{Self: model.Instance{ID: "e", Incarnation: 1}}, table)
	request := entry.Request{ID: "r", Target: target, Timeout: time.Minute, Idempotent: true, Replayable: true}
	log := zerolog.New(out)
	caller := &CallerHandler{
		Self: "e", RequestLog: &log, Table: table, UnreachableSignal: &UnreachableSignal{},
		DirectoryFreshness: func() model.DirectoryFreshness { panic("the cause") },
	}
	x := &exchange{caller: caller, r: &http.Request{}, request: request, body: &requestBody{}, began: now}
	call := engine.Begin(now, request)
	step := entry.Step{Kind: entry.StepSend, To: up}
	return &callRunner{exchange: x, call: call}, step
}
