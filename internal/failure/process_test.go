package failure

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/fake/listen"
	"gypsumstand/internal/fake/platform"
	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/model"
	"gypsumstand/internal/node"
	"gypsumstand/internal/status"
)

// childVariable holds the childConfig of a process that is started as a node.
const childVariable = "GYPSUMSTAND_TEST_NODE"

// childConfig is what a node in a process of its own is told.
type childConfig struct {
	Instance  model.InstanceID
	Worker    string
	Platform  string
	SignerKey ed25519.PublicKey
	// LeaveGrace is how long callers are still served after the sign to stop.
	LeaveGrace time.Duration
	// StopTimeout bounds a planned stop; zero means 10 s.
	StopTimeout time.Duration
}

// childAddresses is what it tells once its ports are open.
type childAddresses struct{ Caller, Peer, Operator string }

// signerName is the name that the processes' bundle is signed off in.
const signerName = "Test Signer"

// serveChild runs this process as a node when it was started as one. It stops
// gracefully when its standard input ends.
func serveChild() bool {
	text, ok := os.LookupEnv(childVariable)
	if !ok {
		return false
	}
	if err := runChild([]byte(text)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return true
}

func runChild(text []byte) error {
	var c childConfig
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	const anyPort = "127.0.0.1:0"
	n, err := node.New(node.Config{
		Instance:        c.Instance,
		Service:         "ledger",
		DataCentre:      "dc1",
		CallerAddress:   anyPort,
		PeerAddress:     anyPort,
		OperatorAddress: anyPort,
		WorkerAddress:   c.Worker,
		ListAddresses:   []string{c.Platform},
		ConfigAddresses: []string{c.Platform},
		PlatformTimeout: time.Second,
		Trusted:         []bundle.Signer{{Name: signerName, Key: c.SignerKey}},
		StopTimeout:     cmp.Or(c.StopTimeout, 10*time.Second),
		LeaveGrace:      c.LeaveGrace,
		LocalDelay:      100 * time.Microsecond,
		RemoteDelay:     time.Millisecond,
		MaxHeaderBytes:  32 << 10,
		IdleTimeout:     time.Minute,
		Log:             zerolog.Nop(),
	})
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(childAddresses{n.CallerAddress(), n.PeerAddress(), n.OperatorAddress()}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		// The end of the input, whatever it is, is the sign to stop.
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return n.Run(ctx)
}

// process is a node in a process of its own, with its worker in the test's.
type process struct {
	childAddresses
	id     model.InstanceID
	worker *worker.Worker
	cmd    *exec.Cmd
	stdin  io.Closer
	ended  chan error
}

// processes is a deployment of nodes in processes of their own.
type processes struct {
	platform *platform.Platform
	ledger   *worker.Ledger
	nodes    []*process
}

// startProcesses runs n nodes of the service "ledger" until the test ends.
func startProcesses(t *testing.T, n int) *processes {
	t.Helper()
	return startProcessesWith(t, n, childConfig{})
}

// startProcessesThatLeave runs nodes that serve callers for a while after the sign to stop.
func startProcessesThatLeave(t *testing.T, n int, grace time.Duration) *processes {
	t.Helper()
	return startProcessesWith(t, n, childConfig{LeaveGrace: grace})
}

// startProcessesWith runs nodes with the times of c.
func startProcessesWith(t *testing.T, n int, c childConfig) *processes {
	t.Helper()
	return startProcessesOf(t, n, c, bundleOf(1))
}

// startProcessesWithIdleBound runs nodes whose callers may be idle for so long.
func startProcessesWithIdleBound(t *testing.T, n int, idle time.Duration) *processes {
	t.Helper()
	bound := fmt.Appendf(bundleOf(1), "[callers]\nidle_timeout_ms = %d\n", idle.Milliseconds())
	return startProcessesOf(t, n, childConfig{}, bound)
}

// startProcessesOf runs n nodes with the times of c, under the bundle of text.
func startProcessesOf(t *testing.T, n int, c childConfig, text []byte) *processes {
	t.Helper()
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	d := &processes{platform: platform.New(platform.Config{}), ledger: worker.NewLedger(0)}
	if _, err := d.platform.PublishSigned(bundle.Sign(signerName, private, text)); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serve(t, d.platform.NewServer(), l)
	for i := range n {
		c.Instance = model.InstanceID(fmt.Sprintf("ledger-%d", i+1))
		c.Platform, c.SignerKey = l.Addr().String(), public
		d.nodes = append(d.nodes, d.start(t, c))
	}
	for _, p := range d.nodes {
		await(t, string(p.id)+" ready with all workers live", func() bool {
			s, ok := p.status()
			return ok && s.Ready && len(s.Fleet.Services) == 1 && s.Fleet.Services[0].Live == n
		})
	}
	return d
}

// serve runs an HTTP server until the test ends.
func serve(t *testing.T, s *http.Server, l net.Listener) {
	go func() { _ = s.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = s.Close() })
}

// start runs a worker here and its node in a process of its own.
func (d *processes) start(t *testing.T, c childConfig) *process {
	t.Helper()
	l, err := listen.TCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w, err := worker.New(worker.Config{Slots: slots, Profiles: profiles, Ledger: d.ledger})
	if err != nil {
		t.Fatal(err)
	}
	serve(t, w.NewServer(l), l)
	c.Worker = l.Addr().String()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{id: c.Instance, worker: w, cmd: exec.Command(os.Args[0]), ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), childVariable+"="+string(text))
	p.cmd.Stderr = os.Stderr
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // it may have ended
	if err := json.NewDecoder(stdout).Decode(&p.childAddresses); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	d.platform.PutInstance(model.Instance{ID: p.id, Service: "ledger", DataCentre: "dc1", PeerAddress: p.Peer, State: model.StateLive})
	return p
}

// status reads the node's own status.
func (p *process) status() (status.Node, bool) {
	resp, err := http.Get("http://" + p.Operator + status.NodePath)
	if err != nil {
		return status.Node{}, false
	}
	defer resp.Body.Close()
	var out status.Node
	return out, json.NewDecoder(resp.Body).Decode(&out) == nil
}

// stop stops all nodes gracefully and waits for their ends: nothing runs after it.
func (d *processes) stop(t *testing.T) {
	t.Helper()
	for _, p := range d.nodes {
		p.stdin.Close()
	}
	for _, p := range d.nodes {
		if err := <-p.ended; err != nil {
			t.Errorf("%s: %v", p.id, err)
		}
	}
}
