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

// silentPeer is a node that stands still: its link to a node is open, and it reads nothing.
type silentPeer struct{ ws *websocket.Conn }

// joinSilently opens a link to a node as a peer does that asks about an attempt.
func joinSilently(t *testing.T, address string) *silentPeer {
	t.Helper()
	ws, _, err := websocket.Dial(t.Context(), "ws://"+address+link.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ws.CloseNow() }) // the node may have closed it
	p := &silentPeer{ws}
	p.say(t, wire.Hello{Instance: model.Instance{ID: "silent-1", Service: "raw", DataCentre: "dc1", PeerAddress: "127.0.0.1:1"}, Transient: true})
	if _, _, err := ws.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *silentPeer) say(t *testing.T, m wire.Message) {
	t.Helper()
	data, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.ws.Write(t.Context(), websocket.MessageBinary, data); err != nil {
		t.Fatal(err)
	}
}

// stopSteps keeps the log lines about the steps of a stop. It is safe for concurrent use.
type stopSteps struct {
	mu    sync.Mutex
	lines strings.Builder
}

// Write implements io.Writer for one line.
func (s *stopSteps) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.Contains(string(line), fmt.Sprintf(`"event":%d,`, event.StopStepEnded)) {
		s.lines.Write(line)
	}
	return len(line), nil
}

// String returns the lines.
func (s *stopSteps) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.String()
}

// linkMetric counts control messages, by what became of them.
const linkMetric = `gypsum_link_messages_total{kind="%s"}`

// asksBetweenLooks is how many questions a peer asks before it looks whether any was dropped.
const asksBetweenLooks = 2000

// fill asks until the node sends no answer any more and drops them: the sockets on the way
// are full, and its queue of messages to this peer.
func (p *silentPeer) fill(t *testing.T, m *local.Member) {
	t.Helper()
	asked, sent, lost := uint64(0), 0, 0
	await(t, "nothing but dropped answers", func() bool {
		for range asksBetweenLooks {
			asked++
			id := model.AttemptID{Entry: "silent-1", Incarnation: 1, Sequence: asked}
			p.say(t, wire.Resolve{Attempt: id, Request: "none", Remaining: time.Second})
		}
		sentBefore, lostBefore := sent, lost
		sent, lost = linkMessages(t, m, "out"), linkMessages(t, m, "dropped")
		return sent-sentBefore < asksBetweenLooks/100 && lost-lostBefore > asksBetweenLooks/2
	})
}

// linkMessages returns how many control messages of a kind the member's node counts.
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
	t.Fatal("no metric of messages " + kind)
	return 0
}

// askedWhileStopping is the number of callers that ask a node until its port is closed.
const askedWhileStopping = 8

// A planned stop told its peers with the bound of the whole stop. One peer that stood still,
// with full sockets on the way, held the telling until that bound was over: callers were
// still served, each with one millisecond to go, and were told that nothing is known of
// requests that ran; the drain then got a context that had ended and cut off whatever was
// in hand. The evidence is event 108 of this very stop: "telling" lasts the whole bound.
func TestAStopBesideASilentPeerAnswersWhatItTakesAndCutsNobodyOff(t *testing.T) {
	t.Parallel()
	cfg := config(2)
	cfg.StopTimeout, cfg.LeaveGrace = 2*time.Second, 500*time.Millisecond
	steps := &stopSteps{}
	cfg.Log = zerolog.New(steps)
	f := startFleet(t, cfg)
	leaver := f.Members()[0]
	c := callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: askedWhileStopping})
	awaitAnswer(t, c, leaver.Node.CallerAddress(), "/a")
	joinSilently(t, leaver.Node.PeerAddress()).fill(t, leaver)
	gone := make(chan struct{})
	var calling sync.WaitGroup
	for i := range askedWhileStopping {
		calling.Go(func() {
			for n := i; ; n++ {
				select {
				case <-gone:
					return
				default:
				}
				if got := c.send(t.Context(), leaver.Node.CallerAddress(), []request{view("/a"), payout("/payouts")}[n%2]); got.err != nil {
					pause.For(t.Context(), pollInterval)
				}
			}
		})
	}
	await(t, "calls", func() bool { return c.count(answered) > 20*askedWhileStopping })
	if err := f.Stop(leaver); err != nil {
		t.Errorf("the stop: %v", err)
	}
	close(gone)
	calling.Wait()
	for _, s := range c.sendings() {
		if runs := f.Ledger.Runs(s.id); runs > 0 && !s.answered() {
			t.Errorf("%s %s ran, and its caller was told %d %s %s, %v", s.method, s.id, s.status, s.outcome, s.reason, s.err)
		}
	}
	t.Logf("%d requests, %d answered, %d told not run, %d unknown, %d without an answer", len(c.sendings()),
		c.count(answered), c.count(notRun), c.count(unknown), c.count(""))
	c.check(t, f.Ledger)
	t.Log(steps)
}
