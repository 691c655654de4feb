package directory

import (
	"errors"
	"testing"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// recordedSubjects returns the subjects of the recorded events with an ID.
func recordedSubjects(actions []control.Action, id event.ID) (subjects []string) {
	for _, a := range actions {
		if rec, ok := a.(control.Record); ok && rec.Event == id {
			subjects = append(subjects, rec.Subject)
		}
	}
	return subjects
}

func TestViewStatus(t *testing.T) {
	for _, tt := range []struct {
		want    ViewStatus
		prepare func(*rig)
	}{
		{ViewNeverRead, func(*rig) {}},
		{ViewCurrent, func(r *rig) { r.handle(twoWorkers()) }},
		{ViewAwaitsPeers, func(r *rig) {
			r.handle(twoWorkers())
			r.now = r.now.Add(StalenessBound + time.Millisecond)
		}},
		{ViewReadSlow, func(r *rig) {
			r.handle(twoWorkers())
			r.tickFor(StalenessBound + 4*time.Second)
		}},
		{ViewReadsFail, func(r *rig) {
			r.handle(twoWorkers())
			r.now = r.now.Add(StalenessBound + time.Millisecond)
			r.handle(control.DirectoryReadFailed{Err: errors.New("turned away")})
		}},
	} {
		r := newRig()
		tt.prepare(r)
		if got := r.View(r.now).Status; got != tt.want {
			t.Errorf("status %s, want %s", got, tt.want)
		}
	}
}

func TestStaleViewIsRecordedOnce(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	var stale, fresh []string
	for range 40 {
		r.now = r.now.Add(control.TickInterval)
		out := r.handle(control.Tick{})
		stale = append(stale, recordedSubjects(out, event.DirectoryViewStale)...)
	}
	r.handle(twoWorkers())
	fresh = append(fresh, recordedSubjects(r.handle(control.Tick{}), event.DirectoryViewFresh)...)
	if len(stale) != 1 || len(fresh) != 1 {
		t.Errorf("stale %q, fresh again %q; want one each", stale, fresh)
	}
}

func TestRequestsCountAfterReplyGrace(t *testing.T) {
	var h requestHistory
	h.add(epoch, "10.0.0.2")
	h.add(epoch, "10.0.0.3")
	h.replied("10.0.0.2", true)
	for _, tt := range []struct {
		after         time.Duration
		sent, replied int
	}{
		{replyGrace - time.Millisecond, 1, 1},
		{replyGrace, 2, 1},
		{requestTTL, 2, 1},
		{requestTTL + time.Millisecond, 0, 0},
	} {
		if got := h.count(epoch.Add(tt.after)); got.sent != tt.sent || got.replied != tt.replied || got.canRead != tt.replied {
			t.Errorf("after %s: %+v, want %d of %d", tt.after, got, tt.replied, tt.sent)
		}
	}
	for i := range 10_000 {
		h.add(epoch, model.InstanceID(rune('a'+i%26)))
	}
	if len(h.list) > maxRequests {
		t.Errorf("%d requests are remembered", len(h.list))
	}
}

func TestEstimateReaders(t *testing.T) {
	const listed = 1001
	for _, tt := range []struct {
		name                   string
		sent, replied, canRead int
		want                   int
	}{
		{"too few requests", minRequests - 1, 0, 0, listed},
		{"all reply", 5, 5, 5, listed},
		{"half reply", 4, 2, 2, 501},
		{"none replies", 5, 0, 0, 1},
		{"all reply and none can read", 5, 5, 0, 1 + 1000/maxSoleReaders},
	} {
		var h requestHistory
		for i := range tt.sent {
			h.list = append(h.list, request{sentAt: epoch, replied: i < tt.replied, canRead: i < tt.canRead})
		}
		if got := h.estimateReaders(epoch.Add(replyGrace), listed); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestUndecodableConfigurationIsReported(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	valid := twoWorkers()
	valid.Config, valid.Bundle = &model.RawConfig{Revision: 2}, &bundle.Bundle{Name: "operator", Version: 1}
	r.handle(valid)
	refused := control.DirectoryRead{Revision: 3, Refused: &model.RawConfig{Revision: 3}, RefusedErr: errors.New("cut short")}
	if got := recordedSubjects(r.handle(refused), event.ConfigRefused); len(got) != 1 {
		t.Errorf("%d records of a refused configuration, want 1", len(got))
	}
	if got := recordedSubjects(r.handle(refused), event.ConfigRefused); len(got) != 0 {
		t.Errorf("%d records of a configuration that was already recorded, want none", len(got))
	}
	if got := r.View(r.now).Status; got != ViewConfigRefused {
		t.Errorf("status %s, want configuration-refused", got)
	}
	changes := Changes(r.board.Directory.Get(), knownAfter(2))
	if changes.Refused == nil || changes.Refused.Revision != 3 {
		t.Errorf("peers receive %+v", changes)
	}
	r.handle(control.DirectoryRead{Revision: 4, Config: &model.RawConfig{Revision: 4}, Bundle: &bundle.Bundle{Name: "operator", Version: 2}})
	if got := r.View(r.now).Status; got != ViewCurrent {
		t.Errorf("status %s after a valid configuration, want in-time", got)
	}
}

func TestSuspensionAgesView(t *testing.T) {
	const suspension = 3 * time.Second
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	r.handle(control.Suspended{For: suspension})
	if age := r.board.Directory.Get().Freshness(r.now).AgeMs; age < uint32(suspension.Milliseconds()) {
		t.Errorf("peers receive an age of %d ms", age)
	}
	// This message waited here; its age was 10 ms when it arrived.
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}})
	if age := r.now.Sub(r.ConfirmedAt()); age < suspension {
		t.Errorf("confirmed %s ago by a freshness that was delayed", age)
	}
	if _, reads := r.tickFor(StalenessBound); reads == 0 {
		t.Error("no read within the bound after the suspension")
	}
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}})
	if age := r.now.Sub(r.ConfirmedAt()); age > 10*time.Millisecond {
		t.Errorf("confirmed %s ago by a fresh value", age)
	}
}

// After an outage in which the directory lost its history and its workers' leases expired,
// the first read returns an empty list, and the next read must follow soon.
func TestEmptyDirectoryIsReadAgain(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	r.tickFor(outageThreshold + time.Second)
	r.handle(control.DirectoryRead{Full: true, Revision: 50})
	if _, reads := r.tickFor(emptyRetryDelay); reads == 0 {
		t.Errorf("no read within %s", emptyRetryDelay)
	}
}

func TestConsecutiveReadsMakeSoleReader(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	if got := r.estimateReaders(r.now); got != 2 {
		t.Errorf("%d readers after one own read, want 2", got)
	}
	r.now = r.now.Add(time.Second)
	r.handle(control.DirectoryRead{Revision: 2})
	if got := r.estimateReaders(r.now); got != 1 {
		t.Errorf("%d readers after two own reads, want 1", got)
	}
	r.now = r.now.Add(time.Second)
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}})
	if got := r.estimateReaders(r.now); got != 2 {
		t.Errorf("%d readers after a peer's read, want 2", got)
	}
}

// Peers keep the view fresh for a while after this node's reads failed, and then reply
// without having read the directory.
func TestOldFailuresDoNotDelayReads(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	for range 6 {
		r.handle(control.DirectoryReadFailed{Err: errors.New("turned away")})
	}
	fresh := control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}}
	for range 2 * int(blackboard.ReadFailureMemory/control.TickInterval) {
		r.handle(fresh)
		r.tickFor(control.TickInterval)
	}
	r.handle(fresh)
	for confirmed := r.now; ; {
		peers, reads := r.tickFor(control.TickInterval)
		if elapsed := r.now.Sub(confirmed); elapsed >= StalenessBound {
			t.Fatalf("no read within %s after the last confirmation", elapsed)
		}
		if reads > 0 {
			return
		}
		for _, peer := range peers {
			r.handle(control.PeerDirectoryReceived{From: peer, DirectoryRead: control.DirectoryRead{Revision: 2}, Age: time.Hour})
		}
	}
}
