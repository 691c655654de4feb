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

// childEnv is the environment variable that holds the childConfig of a process that runs
// as a node.
const childEnv = "GYPSUMSTAND_TEST_NODE"

// childConfig configures a node in its own process.
type childConfig struct {
	Instance  model.InstanceID
	Worker    string
	Platform  string
	SignerKey ed25519.PublicKey
	// LeaveGrace is how long callers are still served after the stop signal.
	LeaveGrace time.Duration
	// StopTimeout bounds a planned stop; zero means 10 s.
	StopTimeout time.Duration
}

// childAddresses are the addresses that a child process reports once its ports are open.
type childAddresses struct{ Caller, Peer, Operator string }

// signerName is the name under which the bundle is signed.
const signerName = "Test Signer"

// runAsChild runs this process as a node when it was started as one. The node stops
// gracefully when standard input ends.
func runAsChild() bool {
	text, ok := os.LookupEnv(childEnv)
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
		// The end of the input, for any reason, is the stop signal.
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return n.Run(ctx)
}

// process is a node in its own process, with its worker in the test process.
type process struct {
	childAddresses
	id     model.InstanceID
	worker *worker.Worker
	cmd    *exec.Cmd
	stdin  io.Closer
	exited chan error
}

// processes is a deployment of nodes in separate processes.
type processes struct {
	platform *platform.Platform
	ledger   *worker.Ledger
	nodes    []*process
}

// startProcesses runs n nodes of the service "ledger" until the test ends.
func startProcesses(t *testing.T, n int) *processes {
	t.Helper()
	return startProcessesWithConfig(t, n, childConfig{})
}

// startProcessesWithLeaveGrace runs n nodes that serve callers for grace after the stop
// signal.
func startProcessesWithLeaveGrace(t *testing.T, n int, grace time.Duration) *processes {
	t.Helper()
	return startProcessesWithConfig(t, n, childConfig{LeaveGrace: grace})
}

// startProcessesWithConfig runs n nodes with the timeouts of c.
func startProcessesWithConfig(t *testing.T, n int, c childConfig) *processes {
	t.Helper()
	return startProcessesWithBundle(t, n, c, bundleOf(1))
}

// startProcessesWithIdleTimeout runs n nodes with an idle timeout for caller connections.
func startProcessesWithIdleTimeout(t *testing.T, n int, idle time.Duration) *processes {
	t.Helper()
	text := fmt.Appendf(bundleOf(1), "[callers]\nidle_timeout_ms = %d\n", idle.Milliseconds())
	return startProcessesWithBundle(t, n, childConfig{}, text)
}

// startProcessesWithBundle runs n nodes with the timeouts of c under the given bundle
// text.
func startProcessesWithBundle(t *testing.T, n int, c childConfig, text []byte) *processes {
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

// start runs a worker in this process and its node in a separate process.
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
	p := &process{id: c.Instance, worker: w, cmd: exec.Command(os.Args[0]), exited: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), childEnv+"="+string(text))
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
	go func() { p.exited <- p.cmd.Wait() }()
	d.platform.PutInstance(model.Instance{ID: p.id, Service: "ledger", DataCentre: "dc1", PeerAddress: p.Peer, State: model.StateLive})
	return p
}

// status reads the node's status from its operator port.
func (p *process) status() (status.Node, bool) {
	resp, err := http.Get("http://" + p.Operator + status.NodePath)
	if err != nil {
		return status.Node{}, false
	}
	defer resp.Body.Close()
	var out status.Node
	return out, json.NewDecoder(resp.Body).Decode(&out) == nil
}

// stop stops all nodes gracefully and waits for their exit; nothing runs after it.
func (d *processes) stop(t *testing.T) {
	t.Helper()
	for _, p := range d.nodes {
		p.stdin.Close()
	}
	for _, p := range d.nodes {
		if err := <-p.exited; err != nil {
			t.Errorf("%s: %v", p.id, err)
		}
	}
}
