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

// recorded returns the subjects of the records of an event.
func recorded(actions []control.Action, id event.ID) (subjects []string) {
	for _, a := range actions {
		if rec, ok := a.(control.Record); ok && rec.Event == id {
			subjects = append(subjects, rec.Subject)
		}
	}
	return subjects
}

func TestAViewSaysWhyItIsLate(t *testing.T) {
	for _, tt := range []struct {
		want  ViewStatus
		bring func(*rig)
	}{
		{ViewNeverRead, func(*rig) {}},
		{ViewCurrent, func(r *rig) { r.handle(two()) }},
		{ViewAwaitsPeers, func(r *rig) {
			r.handle(two())
			r.now = r.now.Add(StalenessBound + time.Millisecond)
		}},
		{ViewReadSlow, func(r *rig) {
			r.handle(two())
			r.ticks(StalenessBound + 4*time.Second)
		}},
		{ViewReadsFail, func(r *rig) {
			r.handle(two())
			r.now = r.now.Add(StalenessBound + time.Millisecond)
			r.handle(control.DirectoryFailed{Err: errors.New("turned away")})
		}},
	} {
		r := newRig()
		tt.bring(r)
		if got := r.View(r.now).Status; got != tt.want {
			t.Errorf("%s, want %s", got, tt.want)
		}
	}
}

func TestALateViewIsRecordedOnceAndAgainWhenItIsInTime(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	var late, back []string
	for range 40 {
		r.now = r.now.Add(control.TickInterval)
		out := r.handle(control.Tick{})
		late = append(late, recorded(out, event.DirectoryViewStale)...)
	}
	r.handle(two())
	back = append(back, recorded(r.handle(control.Tick{}), event.DirectoryViewFresh)...)
	if len(late) != 1 || len(back) != 1 {
		t.Errorf("late %q, in time again %q; want one each", late, back)
	}
}

func TestQuestionsCountOnceTheyHadTheirTime(t *testing.T) {
	var q questions
	q.asked(epoch, "10.0.0.2")
	q.asked(epoch, "10.0.0.3")
	q.answered("10.0.0.2", true)
	for _, tt := range []struct {
		after           time.Duration
		asked, answered int
	}{
		{answerPatience - time.Millisecond, 1, 1},
		{answerPatience, 2, 1},
		{questionMemory, 2, 1},
		{questionMemory + time.Millisecond, 0, 0},
	} {
		if got := q.count(epoch.Add(tt.after)); got.asked != tt.asked || got.answered != tt.answered || got.able != tt.answered {
			t.Errorf("after %s: %+v, want %d of %d", tt.after, got, tt.answered, tt.asked)
		}
	}
	for i := range 10_000 {
		q.asked(epoch, model.InstanceID(rune('a'+i%26)))
	}
	if len(q.list) > maxQuestions {
		t.Errorf("%d questions are remembered", len(q.list))
	}
}

func TestReadersAreThoseThatAnswerAndCanRead(t *testing.T) {
	const listed = 1001
	for _, tt := range []struct {
		name                  string
		asked, answered, able int
		want                  int
	}{
		{"too few questions", leastQuestions - 1, 0, 0, listed},
		{"all answer", 5, 5, 5, listed},
		{"half answer", 4, 2, 2, 501},
		{"nobody answers", 5, 0, 0, 1},
		{"all answer and none can read", 5, 5, 0, 1 + 1000/crowd},
	} {
		var q questions
		for i := range tt.asked {
			q.list = append(q.list, question{at: epoch, answered: i < tt.answered, able: i < tt.able})
		}
		if got := q.readers(epoch.Add(answerPatience), listed); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestAConfigurationThatCannotBeDecodedIsNeverPassedOverInSilence(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	sound := two()
	sound.Config, sound.Bundle = &model.RawConfig{Revision: 2}, &bundle.Bundle{Name: "operator", Version: 1}
	r.handle(sound)
	refused := control.DirectoryRead{Revision: 3, Refused: &model.RawConfig{Revision: 3}, RefusedErr: errors.New("cut short")}
	if got := recorded(r.handle(refused), event.ConfigRefused); len(got) != 1 {
		t.Errorf("%d records of a refused configuration, want 1", len(got))
	}
	if got := recorded(r.handle(refused), event.ConfigRefused); len(got) != 0 {
		t.Errorf("%d records of one that was recorded", len(got))
	}
	if got := r.View(r.now).Status; got != ViewConfigRefused {
		t.Errorf("lag %s", got)
	}
	told := Changes(r.board.Directory.Get(), 2)
	if told.Refused == nil || told.Refused.Revision != 3 {
		t.Errorf("peers are told %+v", told)
	}
	r.handle(control.DirectoryRead{Revision: 4, Config: &model.RawConfig{Revision: 4}, Bundle: &bundle.Bundle{Name: "operator", Version: 2}})
	if got := r.View(r.now).Status; got != ViewCurrent {
		t.Errorf("lag %s after a sound configuration", got)
	}
}

func TestWhatIsKnownGrowsOlderWhileTheMachineIsSuspended(t *testing.T) {
	const asleep = 3 * time.Second
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	r.handle(control.Suspended{For: asleep})
	if age := r.board.Directory.Get().Freshness(r.now).AgeMs; age < uint32(asleep.Milliseconds()) {
		t.Errorf("peers are told an age of %d ms", age)
	}
	// It waited here, and was of 10 ms when it came.
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}})
	if age := r.now.Sub(r.ConfirmedAt()); age < asleep {
		t.Errorf("confirmed %s ago by a mark that waited", age)
	}
	if _, reads := r.ticks(StalenessBound); reads == 0 {
		t.Error("no reading within the bound after the suspension")
	}
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}})
	if age := r.now.Sub(r.ConfirmedAt()); age > 10*time.Millisecond {
		t.Errorf("confirmed %s ago by a fresh mark", age)
	}
}

// Its workers' leases lapsed while the directory was away and forgot its history.
func TestADirectoryThatHasLostAllWorkersIsReadOn(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	r.ticks(outageGap + time.Second)
	r.handle(control.DirectoryRead{Full: true, Revision: 50})
	if _, reads := r.ticks(emptyWait); reads == 0 {
		t.Errorf("no reading within %s", emptyWait)
	}
}

func TestANodeThatReadsAloneTwiceInARowTakesItselfForTheOnlyReader(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	if got := r.readers(r.now); got != 2 {
		t.Errorf("%d readers after one own reading, want 2", got)
	}
	r.now = r.now.Add(time.Second)
	r.handle(control.DirectoryRead{Revision: 2})
	if got := r.readers(r.now); got != 1 {
		t.Errorf("%d readers after two own readings, want 1", got)
	}
	r.now = r.now.Add(time.Second)
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}})
	if got := r.readers(r.now); got != 2 {
		t.Errorf("%d readers after a peer's, want 2", got)
	}
}

// A peer answers all the while and does not read.
func TestFailuresOfLongAgoKeepNoNodeFromTakingItsTurn(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	for range 6 {
		r.handle(control.DirectoryFailed{Err: errors.New("turned away")})
	}
	fresh := control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}}
	for range 2 * int(blackboard.ReadFailureMemory/control.TickInterval) {
		r.handle(fresh)
		r.ticks(control.TickInterval)
	}
	r.handle(fresh)
	for confirmed := r.now; ; {
		peers, reads := r.ticks(control.TickInterval)
		if silent := r.now.Sub(confirmed); silent >= StalenessBound {
			t.Fatalf("no reading in %s after the last confirmation", silent)
		}
		if reads > 0 {
			return
		}
		for _, peer := range peers {
			r.handle(control.PeerDirectoryReceived{From: peer, DirectoryRead: control.DirectoryRead{Revision: 2}, Age: time.Hour})
		}
	}
}
