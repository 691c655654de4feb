package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"gypsumstand/internal/event"
	"gypsumstand/internal/local"
	"gypsumstand/internal/pause"
)

// logged collects log lines. It is safe for concurrent use.
type logLines struct {
	mu    sync.Mutex
	lines [][]byte
}

// Write implements io.Writer for one line.
func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, bytes.Clone(line))
	return len(line), nil
}

// stepLine is a line of event 108.
type stepLine struct {
	Event       event.ID `json:"event"`
	Step        string   `json:"step"`
	Began       *int64   `json:"began_ms"`
	Took        *int64   `json:"milliseconds"`
	Callers     *int64   `json:"callers_in_hand"`
	Attempts    *int64   `json:"attempts_in_hand"`
	StopTimeout int64    `json:"stop_timeout_ms"`
}

func (l *logLines) of(t *testing.T, id event.ID) []stepLine {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []stepLine
	for _, line := range l.lines {
		var s stepLine
		if err := json.Unmarshal(line, &s); err != nil {
			t.Fatal(err)
		}
		if s.Event == id {
			out = append(out, s)
		}
	}
	return out
}

// A request that runs during the announcement and the leave grace is in flight at their
// ends, and no longer at the end of the drain.
func TestStopStepsLogRequestsInFlight(t *testing.T) {
	entered, open := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(open) })
	worker := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Gypsum-Attempt", r.Header.Get("Gypsum-Attempt"))
		if r.URL.Path == "/held" {
			close(entered)
			<-open
		}
	})
	lines := &logLines{}
	f, err := local.Start(local.Config{
		Bundle:      fmt.Appendf(nil, testBundle, 1),
		Services:    []local.Service{{Name: "ledger", Workers: 1, Handler: worker}},
		StopTimeout: 10 * time.Second,
		LeaveGrace:  50 * time.Millisecond,
		Log:         zerolog.New(lines),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	defer release()
	if err := f.Await(t.Context(), local.Ready); err != nil {
		t.Fatal(err)
	}
	answered := make(chan reply, 1)
	go func() {
		got, _, _ := do(t, f, http.MethodGet, "/held", "", nil)
		answered <- got
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- f.Stop(f.Members()[0]) }()
	for len(lines.of(t, event.StopStepEnded)) < 2 {
		pause.For(t.Context(), time.Millisecond)
	}
	release()
	if got := <-answered; got.Outcome != "answered" {
		t.Errorf("response to the held request: %+v", got)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if begun := lines.of(t, event.Stopping); len(begun) != 1 || begun[0].StopTimeout != 10_000 {
		t.Errorf("the start of the stop was logged as %+v", begun)
	}
	type step struct {
		Name    string
		Callers int64
	}
	var got []step
	for _, s := range lines.of(t, event.StopStepEnded) {
		if s.Began == nil || s.Took == nil || s.Callers == nil || s.Attempts == nil {
			t.Fatalf("a field of step %q is missing", s.Step)
		}
		got = append(got, step{s.Step, *s.Callers})
	}
	want := []step{{"telling", 1}, {"leave grace", 1}, {"caller drain", 0}, {"peer drain", 0}, {"clean-up", 0}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("steps (-want +got):\n%s", diff)
	}
}

// unusedWait is how long net/http waits at a shutdown for a connection that has carried
// no request.
const unusedWait = 5 * time.Second

// Stops ran to their time limit, reported that they had cut off callers, and delayed the
// restart of their process although nothing was in flight: peers had opened connections
// to the node that they had not used yet. Event 108 showed a peer drain that lasted until
// the time limit.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	lines := &logLines{}
	f, err := local.Start(local.Config{
		Bundle:      fmt.Appendf(nil, testBundle, 1),
		Services:    []local.Service{{Name: "ledger", Workers: 1}},
		StopTimeout: 4 * unusedWait,
		Log:         zerolog.New(lines),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := f.Await(t.Context(), local.Ready); err != nil {
		t.Fatal(err)
	}
	m := f.Members()[0]
	for _, address := range []string{m.Node.CallerAddress(), m.Node.PeerAddress()} {
		unused, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer unused.Close()
	}
	if err := f.Stop(m); err != nil {
		t.Error(err)
	}
	for _, s := range lines.of(t, event.StopStepEnded) {
		if s.Took == nil || *s.Took >= (unusedWait-time.Second).Milliseconds() {
			t.Errorf("%s took as long as an unused connection lasts: %v ms", s.Step, *s.Took)
		}
	}
}
