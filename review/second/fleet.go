package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments, as the users' pages set them.
const (
	grace     = 6 * time.Second
	heartbeat = 1500 * time.Millisecond
)

// fleet is one small deployment on loopback addresses: a store, workers, and a node process
// beside each worker.
type fleet struct {
	root    string // root of the repository
	dir     string // temporary folder
	prefix  string // first three numbers of the machines' addresses
	store   *store
	nodes   []*machine
	mu      sync.Mutex
	started []*exec.Cmd
}

// machine is one worker with its node.
type machine struct {
	fleet    *fleet
	name     string
	ip       string
	zone     string
	service  string
	settings string
	// Addresses of the node's ports.
	outbound, ready, peer string
	worker                *worker
	cmd                   *exec.Cmd
	exited                chan error
}

// newFleet starts the store of a deployment.
func newFleet(root string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir}
	pid := os.Getpid()
	f.prefix = fmt.Sprintf("127.%d.%d", 20+pid%200, 1+(pid/200)%250)
	port, err := freePort(f.prefix+".1", firstPort)
	if err != nil {
		return nil, err
	}
	f.store, err = newStore(fmt.Sprintf("%s.1:%d", f.prefix, port))
	return f, err
}

// Ports of a machine are sought from firstPort on, below those that the system gives to
// outgoing connections: one of these could take a port before its process listens there.
const (
	firstPort = 8600
	lastPort  = 8999
)

// freePort returns the first port of ip from port on that is free now.
func freePort(ip string, port int) (int, error) {
	for ; port <= lastPort; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			l.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("%s has no free port", ip)
}

// add starts a worker of a service and writes the settings of its node.
func (f *fleet) add(name, zone, service string, cfg workerConfig) (*machine, error) {
	m := &machine{fleet: f, name: name, zone: zone, service: service, ip: fmt.Sprintf("%s.%d", f.prefix, 10+len(f.nodes))}
	ports := make([]int, 3)
	next := firstPort
	for i := range ports {
		port, err := freePort(m.ip, next)
		if err != nil {
			return nil, err
		}
		ports[i], next = port, port+1
	}
	m.outbound = fmt.Sprintf("%s:%d", m.ip, ports[0])
	m.ready = fmt.Sprintf("%s:%d", m.ip, ports[1])
	m.peer = fmt.Sprintf("%s:%d", m.ip, peerPort)
	cfg.service, cfg.zone, cfg.store = service, zone, f.store
	w, err := newWorker("i-"+name, fmt.Sprintf("%s:%d", m.ip, ports[2]), cfg)
	if err != nil {
		return nil, err
	}
	m.worker = w
	m.settings = filepath.Join(f.dir, name+".conf")
	f.nodes = append(f.nodes, m)
	return m, os.WriteFile(m.settings, []byte(m.settingsText()), 0o600)
}

// peerPort is the first port between nodes; ports are the same on all machines.
const peerPort = 7600

// settingsText is deploy/settings.toml, filled in as the platform does.
func (m *machine) settingsText() string {
	template, err := os.ReadFile(filepath.Join(m.fleet.root, "deploy", "settings.toml"))
	if err != nil {
		return ""
	}
	text := string(template)
	for from, to := range map[string]string{
		"{{ip}}": m.ip, "{{service}}": m.service, "{{zone}}": m.zone,
		"{{listen.outbound}}": m.outbound, "{{port_range.0}}": fmt.Sprint(peerPort),
		"{{listen.ready}}": m.ready, "{{app_addr}}": m.worker.address(),
		"{{bounds.grace_s}}": "6", "{{limits.memory_mb}}": "284",
		"{{platform.address}}": m.fleet.store.address(), "{{bounds.retry_budget_ratio}}": "0.2",
		"{{bounds.budget_slack}}":                  "64",
		`{{#contracts}}"{{.}}"{{,}}{{/contracts}}`: `"base","drain","config","cost","retry","recover","health","platform"`,
		"{{#bounds.cold_overage}}warming_ratio = {{bounds.cold_overage}}{{/bounds.cold_overage}}": "",
		"{{#bounds.cold_slack}}warming_extra = {{bounds.cold_slack}}{{/bounds.cold_slack}}":       "",
	} {
		text = strings.ReplaceAll(text, from, to)
	}
	if i := strings.Index(text, "{{#zones}}"); i >= 0 {
		text = text[:i]
	}
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		text += fmt.Sprintf("[[place]]\ndata_centre = %q\nregion = \"region\"\n\n", z)
	}
	return text
}

// start starts the node's process with the command of the deploy file.
func (m *machine) start() error {
	f := m.fleet
	cmd := exec.Command(filepath.Join(f.root, "target", "gypsumside"))
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMSTAND_BOOT=" + m.settings}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait(); log.Close() }()
	m.cmd, m.exited = cmd, exited
	f.mu.Lock()
	f.started = append(f.started, cmd)
	f.mu.Unlock()
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// kill kills the node's process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// isReady asks the node as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all nodes and waits until they are ready.
func (f *fleet) startAll(ctx context.Context) error {
	for _, m := range f.nodes {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.nodes {
		if err := m.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until the node is ready.
func (m *machine) waitReady(ctx context.Context) error {
	for !m.isReady() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("node %s did not become ready", m.name)
		case err := <-m.exited:
			return fmt.Errorf("node %s ended at its start: %v", m.name, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// close ends all processes of the deployment and removes its folder.
func (f *fleet) close() {
	for _, m := range f.nodes {
		if m.cmd != nil {
			m.signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
		}
		m.worker.close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
