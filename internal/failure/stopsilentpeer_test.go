package failure

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"gypsumstand/internal/event"
	"gypsumstand/internal/link"
	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
	"gypsumstand/internal/wire"
)

// silentPeer is a peer whose process is paused: its link to a node is open, but it reads
// nothing.
type silentPeer struct{ ws *websocket.Conn }

// connectSilentPeer opens a transient link to a node, as a peer does for outcome
// resolution.
func connectSilentPeer(t *testing.T, address string) *silentPeer {
	t.Helper()
	ws, _, err := websocket.Dial(t.Context(), "ws://"+address+link.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ws.CloseNow() }) // the node may have closed it
	p := &silentPeer{ws}
	p.send(t, wire.Hello{Instance: model.Instance{ID: "silent-1", Service: "raw", DataCentre: "dc1", PeerAddress: "127.0.0.1:1"}, Transient: true})
	if _, _, err := ws.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *silentPeer) send(t *testing.T, m wire.Message) {
	t.Helper()
	data, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.ws.Write(t.Context(), websocket.MessageBinary, data); err != nil {
		t.Fatal(err)
	}
}

// stopLog keeps the log lines about the steps of a stop. It is safe for concurrent use.
type stopLog struct {
	mu    sync.Mutex
	lines strings.Builder
}

// Write implements io.Writer; each call gets one line.
func (s *stopLog) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.Contains(string(line), fmt.Sprintf(`"event":%d,`, event.StopStepEnded)) {
		s.lines.Write(line)
	}
	return len(line), nil
}

// String returns the lines.
func (s *stopLog) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.String()
}

// linkMetric is the metric that counts control messages by kind.
const linkMetric = `gypsum_link_messages_total{kind="%s"}`

// resolvesPerCheck is how many resolution requests a peer sends between two checks of the
// node's counters.
const resolvesPerCheck = 2000

// fillSockets sends resolution requests until the node drops nearly all replies, because
// the sockets and its queue to this peer are full.
func (p *silentPeer) fillSockets(t *testing.T, m *local.Member) {
	t.Helper()
	sequence, sent, dropped := uint64(0), 0, 0
	await(t, "nearly all replies dropped", func() bool {
		for range resolvesPerCheck {
			sequence++
			id := model.AttemptID{Entry: "silent-1", Incarnation: 1, Sequence: sequence}
			p.send(t, wire.Resolve{Attempt: id, Request: "none", Remaining: time.Second})
		}
		sentBefore, droppedBefore := sent, dropped
		sent, dropped = linkMessages(t, m, "out"), linkMessages(t, m, "dropped")
		return sent-sentBefore < resolvesPerCheck/100 && dropped-droppedBefore > resolvesPerCheck/2
	})
}

// linkMessages returns the number of control messages of a kind that the member's node
// counted.
func linkMessages(t *testing.T, m *local.Member, kind string) int {
	t.Helper()
	resp, err := http.Get("http://" + m.Node.OperatorAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		n := 0.0
		if _, err := fmt.Sscanf(lines.Text(), fmt.Sprintf(linkMetric, kind)+" %g", &n); err == nil {
			return int(n)
		}
	}
	t.Fatal("no metric of link messages of kind " + kind)
	return 0
}

// callersDuringStop is the number of callers that send requests to a node until its port
// is closed.
const callersDuringStop = 8

// A planned stop notified its peers under the timeout of the whole stop. One paused peer
// with full sockets blocked the notification until that timeout. Callers were still
// served, each with one millisecond left, and got outcome unknown for requests that ran;
// the drain then started with an expired context and cancelled everything in flight. In
// the log, event 108 shows that the step "telling" lasted the whole stop timeout.
func TestStopWithSilentPeerAnswersAcceptedCalls(t *testing.T) {
	t.Parallel()
	cfg := config(2)
	cfg.StopTimeout, cfg.LeaveGrace = 2*time.Second, 500*time.Millisecond
	steps := &stopLog{}
	cfg.Log = zerolog.New(steps)
	f := startFleet(t, cfg)
	leaver := f.Members()[0]
	c := callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: callersDuringStop})
	awaitAnswer(t, c, leaver.Node.CallerAddress(), "/a")
	connectSilentPeer(t, leaver.Node.PeerAddress()).fillSockets(t, leaver)
	stopped := make(chan struct{})
	var calling sync.WaitGroup
	for i := range callersDuringStop {
		calling.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				if got := c.send(t.Context(), leaver.Node.CallerAddress(), []request{view("/a"), payout("/payouts")}[n%2]); got.err != nil {
					pause.For(t.Context(), pollInterval)
				}
			}
		})
	}
	await(t, "calls", func() bool { return c.count(answered) > 20*callersDuringStop })
	if err := f.Stop(leaver); err != nil {
		t.Errorf("the stop: %v", err)
	}
	close(stopped)
	calling.Wait()
	for _, s := range c.submissions() {
		if runs := f.Ledger.Runs(s.id); runs > 0 && !s.answered() {
			t.Errorf("%s %s ran, but its caller got %d %s %s, %v", s.method, s.id, s.status, s.outcome, s.reason, s.err)
		}
	}
	t.Logf("%d requests, %d answered, %d not run, %d unknown, %d without a response", len(c.submissions()),
		c.count(answered), c.count(notRun), c.count(unknown), c.count(""))
	c.check(t, f.Ledger)
	t.Log(steps)
}
