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
	// answered: the peer told what it knows. able: its own readings do not fail.
	answered, able bool
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

// answered notes a peer's answer, and whether it is able to read the directory.
func (q *questions) answered(peer model.InstanceID, able bool) {
	for i := range q.list {
		if one := &q.list[i]; one.peer == peer {
			one.answered, one.able = true, able
		}
	}
}

// tally counts questions.
type tally struct{ asked, answered, able int }

// count counts those asked within questionMemory that had their time to be answered.
func (q *questions) count(now time.Time) tally {
	var t tally
	for _, one := range q.list {
		age := now.Sub(one.at)
		if age > questionMemory || !one.answered && age < answerPatience {
			continue
		}
		t.asked++
		if one.answered {
			t.answered++
		}
		if one.able {
			t.able++
		}
	}
	return t
}

const (
	// leastQuestions is how many must have had their time before they outweigh the list.
	leastQuestions = 3
	// crowd is how many nodes may each read as if they were alone: at ten a second
	// each, they take the 2,000 calls a second that the directory gives all.
	crowd = 200
)

// readers estimates how many of the listed nodes read the directory in turn, this one
// included. Those that are stopped, dead or cut off stay listed and answer nothing; those
// that it turns away answer, and would all read as if alone where it serves nobody.
func (q *questions) readers(now time.Time, listed int) int {
	t := q.count(now)
	if t.asked < leastQuestions {
		return listed
	}
	others := listed - 1
	return 1 + max(others*t.able/t.asked, others*t.answered/t.asked/crowd)
}

// living estimates how many of the listed nodes answer, this one included.
func (q *questions) living(now time.Time, listed int) int {
	t := q.count(now)
	if t.asked < leastQuestions {
		return listed
	}
	return 1 + (listed-1)*t.answered/t.asked
}
