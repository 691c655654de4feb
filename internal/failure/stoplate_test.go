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

// shortStop is a stop that a worker's run outlasts.
const shortStop = 2 * time.Second

// startGated runs nodes whose workers hold payouts back until the gate opens.
func startGated(t *testing.T, n int) (*local.Fleet, *gate) {
	t.Helper()
	g := &gate{entered: make(chan string, 8), open: make(chan struct{})}
	cfg := config(1)
	cfg.StopTimeout, cfg.LeaveGrace = shortStop, 0
	cfg.Services = []local.Service{{Name: "raw", Workers: n, Handler: g}}
	return startFleet(t, cfg), g
}

// A connection that was open before the port closed brings its request when the calls in
// hand have been ended: it is closed or refused, and runs nowhere.
func TestARequestThatComesAtTheEndOfAStopRunsNowhere(t *testing.T) {
	t.Parallel()
	f, g := startGated(t, 2)
	let := sync.OnceFunc(func() { close(g.open) })
	defer let()
	leaver := f.Members()[0]
	c := newCallers(t)
	awaitAnswer(t, c, leaver.Node.CallerAddress(), "/raw/a")
	late := connect(t, leaver.Node.CallerAddress(), "")
	held := make(chan told, 1)
	go func() { held <- c.send(t.Context(), leaver.Node.CallerAddress(), payout("/raw/payouts")) }()
	<-g.entered
	stopped := make(chan error, 1)
	go func() { stopped <- f.Stop(leaver) }()
	if got := <-held; got.err != nil || got.outcome != unknown {
		t.Errorf("the held payout got %d %s, %v", got.status, got.outcome, got.err)
	}
	id := newID("late")
	// The node may have closed it.
	_, _ = fmt.Fprintf(late, "GET /raw/a HTTP/1.1\r\nHost: x\r\n%s: %s\r\n\r\n", wire.HeaderIdempotencyKey, id)
	if got, _ := io.ReadAll(late); strings.HasPrefix(string(got), "HTTP/1.1 2") {
		t.Errorf("the late request got %q", got)
	}
	<-stopped
	if runs := g.runs.count(id); runs != 0 {
		t.Errorf("the late request ran %d times", runs)
	}
}

// A stop said that it had cut requests off when there was nothing but a connection that
// had not carried a request yet: net/http waits five seconds for such a one, which is
// longer than the stop.
func TestAStopBesideAConnectionWithoutARequestCutsNobodyOff(t *testing.T) {
	t.Parallel()
	f, _ := startGated(t, 1)
	leaver := f.Members()[0]
	c := newCallers(t)
	awaitAnswer(t, c, leaver.Node.CallerAddress(), "/raw/a")
	fresh := connect(t, leaver.Node.CallerAddress(), "")
	// Connections are taken in their order: one that came later has been served.
	awaitAnswer(t, c, leaver.Node.CallerAddress(), "/raw/a")
	if err := f.Stop(leaver); err != nil {
		t.Errorf("the stop: %v", err)
	}
	if _, err := bufio.NewReader(fresh).ReadByte(); err != io.EOF {
		t.Errorf("the fresh connection got %v", err)
	}
}
