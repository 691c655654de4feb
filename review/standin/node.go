package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Node is one process of the project, started as the deploy file says.
type Node struct {
	IP, Service, Zone, Worker   string
	Caller, Peer, Operator      string
	settings, program, logsPath string
	cmd                         *exec.Cmd
	done                        chan struct{}
}

// RandomNet returns the first three parts of loopback addresses for one run.
func RandomNet() string {
	return fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
}

// FreePort returns a port that is free on all the given addresses.
func FreePort(ips ...string) int {
	for {
		port := 20000 + rand.IntN(12000)
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return port
		}
	}
}

// NodeConfig is what a node's settings hold besides its own names.
type NodeConfig struct {
	Program, Folder, Store             string
	CallerPort, PeerPort, OperatorPort int
	GraceSeconds                       int
	Zones                              []string
	Region                             string
}

// NewNode writes the settings of a node by the deployment's template.
func NewNode(cfg NodeConfig, ip, service, zone, worker string) (*Node, error) {
	n := &Node{
		IP: ip, Service: service, Zone: zone, Worker: worker, program: cfg.Program,
		Caller:   fmt.Sprintf("%s:%d", ip, cfg.CallerPort),
		Peer:     fmt.Sprintf("%s:%d", ip, cfg.PeerPort),
		Operator: fmt.Sprintf("%s:%d", ip, cfg.OperatorPort),
	}
	var b strings.Builder
	fmt.Fprintf(&b, "instance = %q\nservice = %q\ndata_centre = %q\n", ip, service, zone)
	fmt.Fprintf(&b, "caller_address = %q\npeer_address = %q\noperator_address = %q\nworker_address = %q\n", n.Caller, n.Peer, n.Operator, worker)
	fmt.Fprintf(&b, "stop_timeout_ms = %d000\nstop_margin_ms = 500\nleave_grace_ms = 2300\nmemory_limit_mb = 284\nrequest_log_lines = 100\n\n", cfg.GraceSeconds)
	fmt.Fprintf(&b, "[directory]\naddress = %q\nretry_ratio = 0.2\nretry_extra = 58\n", cfg.Store)
	b.WriteString("terms = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"platform\"]\n")
	for _, z := range cfg.Zones {
		fmt.Fprintf(&b, "\n[[place]]\ndata_centre = %q\nregion = %q\n", z, cfg.Region)
	}
	n.settings = filepath.Join(cfg.Folder, ip+".conf")
	n.logsPath = filepath.Join(cfg.Folder, ip+".log")
	return n, os.WriteFile(n.settings, []byte(b.String()), 0o644)
}

// Start starts the process.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.logsPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(n.program)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GYPSUMSTAND_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		log.Close()
		close(done)
	}(n.cmd, n.done)
	return nil
}

// Signal sends the process a signal.
func (n *Node) Signal(s syscall.Signal) error { return n.cmd.Process.Signal(s) }

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.done
}

// Done is closed when the process has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Ended reports whether the process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Pid returns the process's id.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// ExitCode returns the exit code of an ended process.
func (n *Node) ExitCode() int { return n.cmd.ProcessState.ExitCode() }

// LogPath is the file with the process's logs.
func (n *Node) LogPath() string { return n.logsPath }

// Ready reports whether the node says that it is ready.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.Operator + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all nodes are ready.
func WaitReady(nodes []*Node, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, n := range nodes {
		for !n.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", n.IP)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
