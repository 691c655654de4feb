package health_test

import (
	"testing"
	"time"

	"gypsumstand/internal/health"
	"gypsumstand/internal/model"
)

var (
	ok       = health.Poll{Answered: true, OK: true}
	bad      = health.Poll{Answered: true}
	silent   = health.Poll{}
	refused  = health.Poll{Refused: true}
	draining = health.Poll{Answered: true, Leaving: true}
)

func TestWorkerState(t *testing.T) {
	cases := []struct {
		name  string
		polls []health.Poll
		want  model.UpstreamState
	}{
		{"not polled yet", nil, model.StateCold},
		{"one good poll", []health.Poll{ok}, model.StateLive},
		{"two bad polls are not enough", []health.Poll{ok, bad, silent}, model.StateLive},
		{"three bad polls", []health.Poll{ok, bad, silent, bad}, model.StateCold},
		{"a good poll resets the count", []health.Poll{ok, bad, bad, ok, bad}, model.StateLive},
		{"one refused connection is not enough", []health.Poll{ok, refused}, model.StateLive},
		{"two refused connections", []health.Poll{ok, refused, refused}, model.StateCold},
		{"back after a restart", []health.Poll{ok, refused, refused, ok}, model.StateLive},
		{"one report of leaving is not enough", []health.Poll{ok, draining, ok}, model.StateLive},
		{"two reports of leaving", []health.Poll{ok, draining, draining}, model.StateLeaving},
		{"leaving is final", []health.Poll{ok, draining, draining, ok, ok, refused, refused}, model.StateLeaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := health.NewTracker()
			now := time.Unix(1000, 0)
			for _, p := range c.polls {
				now = now.Add(time.Second)
				tracker.ObservePoll(now, p)
			}
			if got := tracker.State(); got != c.want {
				t.Errorf("state %v, want %v", got, c.want)
			}
		})
	}
}

func TestResponsesToTrafficOutweighBadPolls(t *testing.T) {
	tracker := health.NewTracker()
	now := time.Unix(1000, 0)
	tracker.ObservePoll(now, ok)
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		tracker.ObserveTraffic(now, false)
		tracker.ObservePoll(now, bad)
	}
	if got := tracker.State(); got != model.StateLive {
		t.Errorf("with answered traffic: state %v, want live", got)
	}
	now = now.Add(2 * time.Second)
	if got := tracker.ObservePoll(now, bad); got != model.StateCold {
		t.Errorf("without traffic: state %v, want cold", got)
	}
}
