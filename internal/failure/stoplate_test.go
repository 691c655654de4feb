package failure

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumstand/internal/local"
	"gypsumstand/internal/wire"
)

// shortStopTimeout is shorter than the run of a gated payout.
const shortStopTimeout = 2 * time.Second

// startGated runs n nodes whose workers hold payouts until they are released.
func startGated(t *testing.T, n int) (*local.Fleet, *gatedWorker) {
	t.Helper()
	g := &gatedWorker{started: make(chan string, 8), release: make(chan struct{})}
	cfg := config(1)
	cfg.StopTimeout, cfg.LeaveGrace = shortStopTimeout, 0
	cfg.Services = []local.Service{{Name: "raw", Workers: n, Handler: g}}
	return startFleet(t, cfg), g
}

// A connection that was opened before the port closed sends its request when the stop has
// already ended the calls in flight. The request must be refused or its connection
// closed, and it must not run.
func TestRequestAtEndOfStopDoesNotRun(t *testing.T) {
	t.Parallel()
	f, g := startGated(t, 2)
	releaseOnce := sync.OnceFunc(func() { close(g.release) })
	defer releaseOnce()
	leaver := f.Members()[0]
	c := newCallers(t)
	awaitAnswer(t, c, leaver.Node.CallerAddress(), "/raw/a")
	late := connect(t, leaver.Node.CallerAddress(), "")
	held := make(chan result, 1)
	go func() { held <- c.send(t.Context(), leaver.Node.CallerAddress(), payout("/raw/payouts")) }()
	<-g.started
	stopped := make(chan error, 1)
	go func() { stopped <- f.Stop(leaver) }()
	if got := <-held; got.err != nil || got.outcome != unknown {
		t.Errorf("the held payout got %d %s, %v; want unknown", got.status, got.outcome, got.err)
	}
	id := newID("late")
	// The node may already have closed the connection.
	_, _ = fmt.Fprintf(late, "GET /raw/a HTTP/1.1\r\nHost: x\r\n%s: %s\r\n\r\n", wire.HeaderIdempotencyKey, id)
	if got, _ := io.ReadAll(late); strings.HasPrefix(string(got), "HTTP/1.1 2") {
		t.Errorf("the late request got %q", got)
	}
	<-stopped
	if runs := g.runs.count(id); runs != 0 {
		t.Errorf("the late request ran %d times", runs)
	}
}

// A stop reported that it cut requests off although only a connection without any request
// was open. net/http waits five seconds for such a connection, which is longer than the
// stop timeout.
func TestStopIgnoresConnectionWithoutRequest(t *testing.T) {
	t.Parallel()
	f, _ := startGated(t, 1)
	leaver := f.Members()[0]
	c := newCallers(t)
	awaitAnswer(t, c, leaver.Node.CallerAddress(), "/raw/a")
	fresh := connect(t, leaver.Node.CallerAddress(), "")
	// Connections are accepted in order: a later one has been served by now.
	awaitAnswer(t, c, leaver.Node.CallerAddress(), "/raw/a")
	if err := f.Stop(leaver); err != nil {
		t.Errorf("the stop: %v", err)
	}
	if _, err := bufio.NewReader(fresh).ReadByte(); err != io.EOF {
		t.Errorf("read from the unused connection: %v, want EOF", err)
	}
}
