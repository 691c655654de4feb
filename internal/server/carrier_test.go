package server

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
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
		c := &carrier{exchange: &exchange{caller: &Caller{Requests: &log}}, call: call}
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
		held  wire.Times
		want  time.Duration
	}{
		{"answered at once", 605 * time.Millisecond, wire.Times{Queued: 200 * time.Millisecond, Worker: 400 * time.Millisecond}, 5 * time.Millisecond},
		{"held up behind a cut link", 3 * time.Second, wire.Times{Worker: 500 * time.Millisecond}, 2500 * time.Millisecond},
		{"refused after a wait that is not told", 300 * time.Millisecond, wire.Times{}, 300 * time.Millisecond},
		{"clocks that differ by their rounding", time.Millisecond, wire.Times{Worker: 2 * time.Millisecond}, 0},
	} {
		if got := transit(tt.whole, tt.held); got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
}
