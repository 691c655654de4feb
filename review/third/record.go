package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// record is a case's record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// say writes a line with the time since the start.
func (r *record) say(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// tell writes a line to the record and to standard output.
func (r *record) tell(format string, a ...any) {
	r.say(format, a...)
	fmt.Printf(format+"\n", a...)
}

// runs writes the runs of a request.
func (r *record) runs(led *ledger, s *sent) {
	for _, x := range led.of(s.id) {
		r.say("run   %s at %s (%s): %s %s, body %d bytes %s, deadline %s ms", x.id, x.worker, x.service, x.method, x.target, x.bodyLen, x.body, x.deadline)
	}
}

// answer writes what a client saw.
func (r *record) answer(s *sent) {
	if s.err != nil {
		r.say("answer %s: %v after %d ms", s.id, s.err, s.took.Milliseconds())
		return
	}
	r.say("answer %s: %d after %d ms, signature %q, %d bytes", s.id, s.status, s.took.Milliseconds(), s.signature, len(s.answer))
}

// isTrouble reports whether the case is played with its disruption.
func isTrouble() bool { return os.Getenv("TROUBLE") != "0" }
