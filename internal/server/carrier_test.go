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

func TestACallerThatLeavesDoesNotSpeakAgainstTheUpstream(t *testing.T) {
	now := time.Now()
	b := &bundle.Bundle{
		Name: "b", Version: 1,
		Classes:  []bundle.Class{{Name: "view", DeadlineMs: 1000}},
		Services: []bundle.Service{{Name: "shop", Slots: 2}},
	}
	target := bundle.Target{Bundle: b, Service: &b.Services[0], Class: &b.Classes[0], Idempotent: true}
	failures := map[string]time.Duration{}
	for name, cause := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"caller gone": context.WithCancel,
		"way broken":  func(ctx context.Context) (context.Context, context.CancelFunc) { return ctx, func() {} },
	} {
		table := route.NewTable(route.Config{Self: "e"})
		up := model.Instance{ID: "w1", Service: "shop", State: model.StateLive}
		table.Update(now, &model.Fleet{Instances: []model.Instance{up}}, bundle.NewSet([]*bundle.Bundle{b}))
		engine := entry.NewEngine(entry.Config{Self: model.Instance{ID: "e", Incarnation: 1}}, table)
		call := engine.Begin(now, entry.Request{ID: "r", Target: target, Timeout: time.Second, Idempotent: true, Replayable: true})
		step := call.Next(now)
		log := zerolog.Nop()
		c := &carrier{exchange: &exchange{caller: &CallerHandler{RequestLog: &log}}, call: call}
		ctx, leave := cause(context.Background())
		leave()
		c.ended(ctx, now, step, errors.New("broken"))
		for _, e := range table.Explain(now, &route.Query{Service: "shop"}) {
			failures[name] = e.Failure
		}
	}
	if failures["caller gone"] != 0 || failures["way broken"] == 0 {
		t.Errorf("expected loss by failure: %v", failures)
	}
}

func TestAnAnswersWayIsWhatNeitherOwnerNorWorkerHeld(t *testing.T) {
	for _, tt := range []struct {
		name  string
		whole time.Duration
		held  wire.AttemptTimes
		want  time.Duration
	}{
		{"answered at once", 605 * time.Millisecond, wire.AttemptTimes{Queued: 200 * time.Millisecond, Worker: 400 * time.Millisecond}, 5 * time.Millisecond},
		{"held up behind a cut link", 3 * time.Second, wire.AttemptTimes{Worker: 500 * time.Millisecond}, 2500 * time.Millisecond},
		{"refused after a wait that is not told", 300 * time.Millisecond, wire.AttemptTimes{}, 300 * time.Millisecond},
		{"clocks that differ by their rounding", time.Millisecond, wire.AttemptTimes{Worker: 2 * time.Millisecond}, 0},
	} {
		if got := transit(tt.whole, tt.held); got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
}

// A panic in an attempt with a hedge beside it, or in the hedge, ended the process and with
// it every request in hand: both run in goroutines that are no handler's. One without a
// hedge cut its caller off.
func TestAPanicOfAnAttemptIsAnAttemptThatBroke(t *testing.T) {
	now := time.Now()
	for name, hedgeAt := range map[string]time.Time{"alone": {}, "to be hedged": now.Add(time.Hour)} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			c, step := panickingCarrier(now, &log)
			step.HedgeAt = hedgeAt
			result, heard, err := c.attemptHedged(t.Context(), step)
			var panicked *task.PanicError
			if result.Response != nil || heard || !errors.As(err, &panicked) || panicked.Value != "the cause" {
				t.Errorf("%+v, heard %v, error %v", result, heard, err)
			}
			if line := log.String(); !strings.Contains(line, `"event":111,`) || !strings.Contains(line, "the cause") {
				t.Errorf("log %q", line)
			}
		})
	}
}

func TestAPanicOfAHedgeEndsItWithAnUnknownOutcome(t *testing.T) {
	var log bytes.Buffer
	c, _ := panickingCarrier(time.Now(), &log)
	c.caller.AttemptUnanswered = func(model.Instance, model.Reason) { panic("another cause") }
	if step := c.carryOut(t.Context()); step.Kind != entry.StepEnd || step.Outcome != model.OutcomeUnknown {
		t.Errorf("ends with %+v", step)
	}
	if line := log.String(); !strings.Contains(line, "another cause") {
		t.Errorf("log %q", line)
	}
}

// panickingCarrier returns a carrier whose attempts panic, and the first step of its call.
func panickingCarrier(now time.Time, out io.Writer) (*carrier, entry.Step) {
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
	return &carrier{exchange: x, call: call}, step
}
