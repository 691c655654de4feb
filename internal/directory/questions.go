package directory

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
)

// Judging peers by the questions to them.
const (
	// answerPatience is how long a question may be open before it counts as unanswered.
	// An answer takes 1 to 5 ms, and some tens of ms on a slow machine.
	answerPatience = 60 * time.Millisecond
	// questionMemory is how long a question counts: about five are asked in it by a node
	// that hears nobody.
	questionMemory = 500 * time.Millisecond
	// maxQuestions bounds those that are remembered.
	maxQuestions = 16
)

// question is one to a peer.
type question struct {
	peer model.InstanceID
	at   time.Time
	// answered: the peer told what it knows.
	answered bool
}

// questions are the latest to peers.
type questions struct{ list []question }

// asked notes a question.
func (q *questions) asked(now time.Time, peer model.InstanceID) {
	q.list = slices.DeleteFunc(q.list, func(old question) bool { return now.Sub(old.at) > questionMemory })
	if len(q.list) < maxQuestions {
		q.list = append(q.list, question{peer: peer, at: now})
	}
}

// answered notes a peer's answer.
func (q *questions) answered(peer model.InstanceID) {
	for i := range q.list {
		if q.list[i].peer == peer {
			q.list[i].answered = true
		}
	}
}

// count returns how many questions were asked within questionMemory that had their time
// to be answered, and how many of them were.
func (q *questions) count(now time.Time) (asked, answered int) {
	for _, one := range q.list {
		age := now.Sub(one.at)
		if age > questionMemory || !one.answered && age < answerPatience {
			continue
		}
		asked++
		if one.answered {
			answered++
		}
	}
	return asked, answered
}
