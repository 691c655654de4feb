package failure

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxLogLines bounds the lines that a failureLog keeps, about 3 MB. It exceeds what a fleet
// logs in a test of some ten seconds.
const maxLogLines = 8192

// logTimeFormat is the format of the times in a failureLog.
const logTimeFormat = "15:04:05.000000"

// failureLog keeps the newest log lines of a test in memory and prints them if the test
// fails. It is safe for concurrent use.
type failureLog struct {
	mu sync.Mutex
	// lines is a ring once it holds maxLogLines; next is then its oldest line.
	lines   []logLine
	next    int
	dropped int
}

// logLine is one line and when it was written.
type logLine struct {
	at   time.Time
	text string
}

// newFailureLog returns a log that is printed when t has ended and failed, after the
// cleanups that are registered later.
func newFailureLog(t *testing.T) *failureLog {
	l := &failureLog{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(l)
		}
	})
	return l
}

// Write implements io.Writer; each call writes one line.
func (l *failureLog) Write(p []byte) (int, error) {
	line := logLine{time.Now(), string(p)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) < maxLogLines {
		l.lines = append(l.lines, line)
		return len(p), nil
	}
	l.lines[l.next] = line
	l.next = (l.next + 1) % maxLogLines
	l.dropped++
	return len(p), nil
}

// String returns all lines, each with its time.
func (l *failureLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out strings.Builder
	fmt.Fprintf(&out, "log, %d earlier lines dropped:\n", l.dropped)
	for i := range l.lines {
		line := &l.lines[(l.next+i)%len(l.lines)]
		out.WriteString(line.at.Format(logTimeFormat) + " " + line.text)
	}
	return out.String()
}

func TestFailureLogKeepsNewestLines(t *testing.T) {
	t.Parallel()
	var l failureLog
	const extra = 3
	for i := range maxLogLines + extra {
		fmt.Fprintf(&l, "line %d\n", i)
	}
	got := strings.Split(strings.TrimSpace(l.String()), "\n")
	first, last := fmt.Sprintf(" line %d", extra), fmt.Sprintf(" line %d", maxLogLines+extra-1)
	if len(got) != maxLogLines+1 || !strings.HasSuffix(got[1], first) || !strings.HasSuffix(got[maxLogLines], last) {
		t.Errorf("got %d lines, %q to %q; want the newest %d after a title", len(got), got[1], got[len(got)-1], maxLogLines)
	}
	if l.dropped != extra {
		t.Errorf("%d lines dropped, want %d", l.dropped, extra)
	}
}
