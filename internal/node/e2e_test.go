package node_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	fakeplatform "gypsumstand/internal/fake/platform"
	"gypsumstand/internal/model"
	"gypsumstand/internal/node"
)

const testBundle = `
name = "test"
version = %d
[[class]]
name = "view"
worth = 1.0
deadline_ms = 2000
[[class]]
name = "payout"
worth = 10.0
deadline_ms = 2000
[[service]]
name = "ledger"
slots = 20
connections = 40
[[service.route]]
path = "/payouts"
class = "payout"
[[service.route]]
path = "/"
class = "view"
`

// fleet is a platform, some nodes and their workers on loopback.
type fleet struct {
	t        *testing.T
	platform *fakeplatform.Platform
	address  string
	key      ed25519.PrivateKey
	signer   bundle.Signer
	nodes    []*node.Node
}

func newFleet(t *testing.T, nodes int, worker http.HandlerFunc) *fleet {
	t.Helper()
	public, private, err := ed25519.GenerateKey(strings.NewReader(strings.Repeat("seed", ed25519.SeedSize)))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, platform: fakeplatform.New(fakeplatform.Config{}), key: private, signer: bundle.Signer{Name: "Tester", Key: public}}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	f.publish(1)
	for i := range nodes {
		f.addNode(i, worker)
	}
	f.awaitReady()
	return f
}

func (f *fleet) publish(version int) {
	f.t.Helper()
	signed := bundle.Sign(f.signer.Name, f.key, fmt.Appendf(nil, testBundle, version))
	if _, err := f.platform.PublishSigned(signed); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) addNode(i int, worker http.HandlerFunc) {
	f.t.Helper()
	w := httptest.NewServer(worker)
	f.t.Cleanup(w.Close)
	n, err := node.New(node.Config{
		Instance:        model.InstanceID(fmt.Sprintf("n%d", i)),
		Service:         "ledger",
		DataCentre:      model.DataCentre(fmt.Sprintf("dc%d", i%3)),
		CallerAddress:   "127.0.0.1:0",
		PeerAddress:     "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
		WorkerAddress:   strings.TrimPrefix(w.URL, "http://"),
		ListAddresses:   []string{f.address},
		ConfigAddresses: []string{f.address},
		PlatformTimeout: time.Second,
		Trusted:         []bundle.Signer{f.signer},
		StopTimeout:     10 * time.Second,
		LocalDelay:      100 * time.Microsecond,
		RemoteDelay:     time.Millisecond,
		MaxHeaderBytes:  64 << 10,
		IdleTimeout:     time.Minute,
		Log:             zerolog.Nop(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	f.platform.Put(model.Instance{
		ID:          model.InstanceID(fmt.Sprintf("n%d", i)),
		Service:     "ledger",
		DataCentre:  model.DataCentre(fmt.Sprintf("dc%d", i%3)),
		PeerAddress: n.PeerAddress(),
		State:       model.StateLive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("node %d: %v", i, err)
		}
	})
}

// awaitReady polls the nodes' readiness until every one serves.
func (f *fleet) awaitReady() {
	f.t.Helper()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for _, n := range f.nodes {
		for !ready(n) || n.Core().Board.Self.Get().Instance.State != model.StateLive {
			<-poll.C
		}
	}
}

func ready(n *node.Node) bool {
	resp, err := http.Get("http://" + n.OperatorAddress() + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func TestARequestIsServedByAWorkerThroughAnyNode(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Gypsum-Attempt", r.Header.Get("Gypsum-Attempt"))
		_, _ = io.WriteString(w, "for "+r.Header.Get("Idempotency-Key"))
	}
	f := newFleet(t, 3, echo)
	for i, n := range f.nodes {
		req, err := http.NewRequest(http.MethodGet, "http://"+n.CallerAddress()+"/vouchers/7", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", fmt.Sprintf("key-%d", i))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if got, want := string(body), fmt.Sprintf("for key-%d", i); got != want {
			t.Errorf("node %d: body %q, want %q", i, got, want)
		}
		if got := resp.Header.Get("Gypsum-Outcome"); got != "answered" {
			t.Errorf("node %d: outcome %q", i, got)
		}
		if got := resp.Header.Get("Gypsum-Bundle"); got != "test@1" {
			t.Errorf("node %d: bundle %q", i, got)
		}
	}
}
