package node_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
	"gypsumstand/internal/node"
)

// One part of a node failed (a port's listener, a goroutine that panicked), and the node
// ended at once: callers on kept connections, whose requests were at workers, saw their
// connections close without an answer, all in one moment, and so did other entries whose
// attempts the node's worker ran. A listener's error went from Run straight to closing
// every connection; a panic ended the process where it stood. A part that fails is no
// reason to cut off what the others have in hand: the node stops as it does when it is
// told to.

// faultBundle leaves requests the time that a slow machine needs.
const faultBundle = `
name = "test"
version = %d
[[class]]
name = "payout"
worth = 10.0
deadline_ms = 10000
[[service]]
name = "ledger"
slots = 20
connections = 40
[[service.route]]
path = "/"
class = "payout"
`

// callersEach is how many requests each node has in hand when a part fails.
const callersEach = 3

// busyFleet is two nodes with requests in hand, which the workers hold.
type busyFleet struct {
	*local.Fleet
	log *faultLog
	// running gets a word of each request that a worker begins, and release ends them.
	running chan struct{}
	release chan struct{}
	replies chan error
}

// newBusyFleet returns once every request runs at a worker.
func newBusyFleet(t *testing.T) *busyFleet {
	t.Helper()
	b := &busyFleet{
		log:     &faultLog{seen: map[string]chan struct{}{}},
		running: make(chan struct{}, 100),
		release: make(chan struct{}),
		replies: make(chan error, 100),
	}
	b.Fleet = startLogged(t, fmt.Sprintf(faultBundle, 1), 2, b.work, 30*time.Second, b.log)
	for i, address := range b.CallerAddresses() {
		for k := range callersEach {
			go func() { b.replies <- b.call(address, fmt.Sprintf("payout-%d-%d", i, k)) }()
		}
	}
	for range 2 * callersEach {
		select {
		case <-b.running:
		case err := <-b.replies:
			t.Fatalf("a request ended before the fault: %v", err)
		}
	}
	return b
}

// startLogged runs a ready fleet of one data centre that logs to log.
func startLogged(t *testing.T, bundle string, workers int, work http.HandlerFunc, stop time.Duration, log io.Writer) *local.Fleet {
	t.Helper()
	f, err := local.Start(local.Config{
		Bundle:      []byte(bundle),
		Services:    []local.Service{{Name: "ledger", Workers: workers, Handler: work}},
		DataCentres: 1,
		StopTimeout: stop,
		Log:         zerolog.New(log),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := f.Await(t.Context(), local.Ready); err != nil {
		t.Fatal(err)
	}
	return f
}

// work is the workers' handler: it answers warming requests at once.
func (b *busyFleet) work(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Gypsum-Attempt", r.Header.Get("Gypsum-Attempt"))
	if r.URL.Path == "/payouts" {
		b.running <- struct{}{}
		<-b.release
	}
	_, _ = io.WriteString(w, "for "+r.Header.Get("Idempotency-Key"))
}

// call sends a request on a connection that has carried another one.
func (b *busyFleet) call(address, id string) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, path := range []string{"/warm", "/payouts"} {
		if err := callOnce(client, address, path, id+path); err != nil {
			return fmt.Errorf("%s%s: %w", id, path, err)
		}
	}
	return nil
}

func callOnce(client *http.Client, address, path, id string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("amount=7"))
	if err != nil {
		return err
	}
	req.Header.Set("Idempotency-Key", id)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if want := "for " + id; string(body) != want {
		return fmt.Errorf("%d %s, body %q, want %q", resp.StatusCode, resp.Header.Get("Gypsum-Outcome"), body, want)
	}
	return nil
}

// check takes every caller's reply. The workers answer once the node has said that it
// stops, or once a caller has been cut off before.
func (b *busyFleet) check(t *testing.T) {
	t.Helper()
	replies := 0
	select {
	case <-b.log.await(`"event":101,`):
	case err := <-b.replies:
		replies++
		t.Errorf("before any worker answered: %v", err)
	}
	close(b.release)
	for ; replies < 2*callersEach; replies++ {
		if err := <-b.replies; err != nil {
			t.Error(err)
		}
	}
}

// checkEnd takes the end of the node that failed: it tells why, and the log told it before
// the stop began.
func (b *busyFleet) checkEnd(t *testing.T, cause string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	err := b.AwaitFailure(ctx)
	if err == nil || !strings.Contains(err.Error(), cause) || errors.Is(err, node.ErrCutOff) {
		t.Errorf("the node ended with %v, want %q", err, cause)
	}
	before, _, _ := strings.Cut(b.log.String(), `"event":101,`)
	if !strings.Contains(before, `"event":105,`) || !strings.Contains(before, cause) {
		t.Errorf("no event 105 with %q before event 101", cause)
	}
}

func TestAPortThatFailsCutsNobodyOff(t *testing.T) {
	t.Parallel()
	for _, port := range []string{"caller", "peer", "operator"} {
		t.Run(port, func(t *testing.T) {
			t.Parallel()
			b := newBusyFleet(t)
			b.Members()[0].Node.FailPort(port)
			b.check(t)
			b.checkEnd(t, port+" port")
		})
	}
}

func TestAPanicOfAPartCutsNobodyOff(t *testing.T) {
	t.Parallel()
	b := newBusyFleet(t)
	b.Members()[0].Node.Start(func() { panic("the cause " + strings.Repeat("x", 64<<10)) })
	b.check(t)
	b.checkEnd(t, "the cause")
	for line := range strings.Lines(b.log.String()) {
		if strings.Contains(line, `"event":105,`) && (len(line) > 16<<10 || !strings.Contains(line, "fault_test.go")) {
			t.Errorf("event 105 has %d bytes, want a bounded line with the stack: %.200s", len(line), line)
		}
	}
}

// A panic in the stop itself was taken for a stop that is stuck, and closed on everybody.
func TestAPanicOfTheStopCutsNobodyOff(t *testing.T) {
	t.Parallel()
	b := newBusyFleet(t)
	b.log.on(`"event":108,`, func() { panic("the cause of the stop") })
	b.Members()[0].Node.FailPort("operator")
	<-b.log.await(`"event":108,`)
	b.check(t)
	b.checkEnd(t, "operator port")
}

// The goroutine that feeds the core of either node panics, by what it logs. Peers can be
// told that the node leaves by that goroutine only, and without its clock nothing that waits at the
// owner would begin.
func TestAPanicOfTheCoresLoopCutsNobodyOff(t *testing.T) {
	t.Parallel()
	b := newBusyFleet(t)
	b.log.on(`"event":220,`, func() { panic("the cause") })
	if err := b.Publish(fmt.Appendf(nil, faultBundle, 2)); err != nil {
		t.Fatal(err)
	}
	b.check(t)
	b.checkEnd(t, "the cause")
}

// A goroutine that is stuck, as on a lock that another one left when it panicked, does not
// keep a stop from ending.
func TestAStopEndsBesideAPartThatIsStuck(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, http.NotFoundHandler())
	stuck := make(chan struct{})
	m := f.Members()[0]
	m.Node.Start(func() { <-stuck })
	if err := stopBeside(t, f, m, stuck); err != nil {
		t.Error(err)
	}
}

// stuckFleet runs one node whose stop has 2 s, and returns its log.
func stuckFleet(t *testing.T) (*local.Fleet, *faultLog) {
	t.Helper()
	log := &faultLog{seen: map[string]chan struct{}{}}
	f := startLogged(t, fmt.Sprintf(faultBundle, 1), 1, http.NotFound, 2*time.Second, log)
	return f, log
}

// stickLoop makes the core's loop wait until stuck is closed, and fills its queue.
func stickLoop(t *testing.T, f *local.Fleet, log *faultLog) (m *local.Member, stuck chan struct{}) {
	t.Helper()
	began := make(chan struct{})
	stuck = make(chan struct{})
	log.on(`"event":220,`, func() {
		close(began)
		<-stuck
	})
	if err := f.Publish(fmt.Appendf(nil, faultBundle, 2)); err != nil {
		t.Fatal(err)
	}
	<-began
	m = f.Members()[0]
	m.Node.FillQueue()
	return m, stuck
}

// The core's loop is stuck and its queue full: the stop can't say that the node leaves, and
// finishes what is in hand all the same.
func TestAStopBesideAStuckLoopIsGraceful(t *testing.T) {
	t.Parallel()
	f, log := stuckFleet(t)
	m, stuck := stickLoop(t, f, log)
	if err := stopBeside(t, f, m, stuck); err != nil {
		t.Error(err)
	}
}

// A call that carried a newer version waited for the core for as long as its queue was full,
// beyond the caller's time.
func TestACallDoesNotWaitForTheCore(t *testing.T) {
	t.Parallel()
	f, log := stuckFleet(t)
	m, stuck := stickLoop(t, f, log)
	told, late := make(chan struct{}), time.NewTimer(10*time.Second)
	defer late.Stop()
	go func() {
		defer close(told)
		m.Node.See(model.BundleVersion{Name: "test", Version: 99})
	}()
	select {
	case <-told:
	case <-late.C:
		t.Error("a call waits for the core")
	}
	left := log.await(`"event":114,`)
	close(stuck)
	<-left
	<-told
}

// A stop that waits for good, here to say that it begins, does not keep the process.
func TestAStopThatIsStuckItselfEnds(t *testing.T) {
	t.Parallel()
	f, log := stuckFleet(t)
	stuck := make(chan struct{})
	log.on(`"event":101,`, func() { <-stuck })
	if err := stopBeside(t, f, f.Members()[0], stuck); !errors.Is(err, node.ErrCutOff) {
		t.Errorf("the stop ended with %v, want %v", err, node.ErrCutOff)
	}
}

// stopBeside stops a member beside a goroutine that waits for stuck, and returns how the
// stop ended.
func stopBeside(t *testing.T, f *local.Fleet, m *local.Member, stuck chan struct{}) error {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- f.Stop(m) }()
	late := time.NewTimer(30 * time.Second)
	defer late.Stop()
	select {
	case err := <-ended:
		close(stuck)
		return err
	case <-late.C:
		t.Error("a stop whose bound is 10 s at most has not ended after 30 s")
		close(stuck)
		return <-ended
	}
}

// faultLog is a log whose lines can be waited for, and can do harm.
type faultLog struct {
	mu   sync.Mutex
	text bytes.Buffer
	// seen holds what is waited for.
	seen map[string]chan struct{}
	// mark and harm are what on was told, until it is done.
	mark string
	harm func()
}

// Write implements io.Writer for one line.
func (l *faultLog) Write(line []byte) (int, error) {
	if harm := l.take(line); harm != nil {
		harm()
	}
	return len(line), nil
}

// take keeps a line and returns the harm that it does.
func (l *faultLog) take(line []byte) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(line)
	for mark, seen := range l.seen {
		if bytes.Contains(line, []byte(mark)) {
			close(seen)
			delete(l.seen, mark)
		}
	}
	if l.harm == nil || !bytes.Contains(line, []byte(l.mark)) {
		return nil
	}
	harm := l.harm
	l.harm = nil
	return harm
}

// await returns a channel that is closed once a line has had the mark.
func (l *faultLog) await(mark string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := make(chan struct{})
	if strings.Contains(l.text.String(), mark) {
		close(seen)
		return seen
	}
	l.seen[mark] = seen
	return seen
}

// on does harm in the goroutine that logs the next line with the mark.
func (l *faultLog) on(mark string, harm func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mark, l.harm = mark, harm
}

func (l *faultLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
