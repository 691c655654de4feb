package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// ports of a day; they are the same on all machines.
type ports struct{ outbound, ready, app, peer int }

// freePorts looks for ports that are free on all addresses of the machines.
func freePorts(ips []string) (ports, error) {
	for base := 21000 + os.Getpid()%300*20; base < 32000; base += 20 {
		free := true
		for _, ip := range ips {
			for p := base; p < base+4 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

// machine is one sidecar machine: a worker, and the node beside it.
type machine struct {
	ip, service, zone string
	worker            *worker
	node              *exec.Cmd
	log               string
	settings          string
	done              chan struct{}
}

type fleet struct {
	dir      string
	store    *store
	ports    ports
	machines []*machine
	ledger   *ledger
	mu       sync.Mutex
	version  int
	terms    string
	memoryMB int
}

// nodeProgram is the program of deploy/system.toml.
var nodeProgram = "target/gypsumside"

// node settings follow deploy/settings.toml.
const settingsTemplate = `instance = "%[1]s"
service = "%[2]s"
data_centre = "%[3]s"
caller_address = "%[1]s:%[4]d"
peer_address = "%[1]s:%[7]d"
operator_address = "%[1]s:%[5]d"
worker_address = "%[1]s:%[6]d"
stop_timeout_ms = 6000
stop_margin_ms = 500
leave_grace_ms = 2300
memory_limit_mb = %[10]d
request_log_lines = 100

[directory]
address = "%[8]s"
retry_ratio = 0.2
retry_extra = 58
terms = [%[9]s]

[[place]]
data_centre = "zone-a"
region = "region"

[[place]]
data_centre = "zone-b"
region = "region"
`

func newFleet(dir string, services ...string) (*fleet, error) {
	f := &fleet{dir: dir, ledger: &ledger{incomplete: map[string]int{}}, memoryMB: 284,
		terms: `"base","drain","config","cost","retry","recover","health","platform"`}
	var ips []string
	for i := range services {
		ips = append(ips, fmt.Sprintf("127.77.%d.%d", os.Getpid()%200+1, i+1))
	}
	var err error
	if f.ports, err = freePorts(ips); err != nil {
		return nil, err
	}
	if f.store, err = newStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i, service := range services {
		m := &machine{ip: ips[i], service: service, zone: []string{"zone-a", "zone-b"}[i%2]}
		m.settings = filepath.Join(dir, fmt.Sprintf("settings-%d.conf", i))
		m.log = filepath.Join(dir, fmt.Sprintf("node-%d.log", i))
		if m.worker, err = startWorker(fmt.Sprintf("i-%08x", 0x7f3a9100+i), service, fmt.Sprintf("%s:%d", m.ip, f.ports.app), f.ledger); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
		f.list(m, "ready")
	}
	return f, nil
}

// list writes the entry of a machine's worker.
func (f *fleet) list(m *machine, state string) {
	f.store.put("servers/"+m.worker.id, map[string]any{
		"address": m.worker.address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": m.worker.slots},
		"status": map[string]any{"state": state, "seq": 4, "cold_left_ms": 0},
	})
}

type routeSpec struct {
	name, host, prefix, kind, service string
	timeoutMs, targetMs               int
}

// configure writes a configuration of the routes.
func (f *fleet) configure(routes []routeSpec) {
	f.version += 3
	var rs, ss []any
	seen := map[string]bool{}
	for i, r := range routes {
		rs = append(rs, map[string]any{"name": r.name, "host": r.host, "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMs,
			"target_latency_ms": r.targetMs, "priority": i % 3, "service": r.service, "max_attempts": 2})
	}
	for _, m := range f.machines {
		if !seen[m.service] {
			seen[m.service] = true
			ss = append(ss, map[string]any{"name": m.service, "health_path": "/health", "max_connections": 220, "protocol": "h1", "tls": false})
		}
	}
	f.store.put("op/config", map[string]any{"version": f.version, "routes": rs, "services": ss, "base_version": f.version - 1,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}

// start starts a machine's node with the command of deploy/system.toml.
func (f *fleet) start(m *machine) error {
	text := fmt.Sprintf(settingsTemplate, m.ip, m.service, m.zone, f.ports.outbound, f.ports.ready, f.ports.app, f.ports.peer, f.store.addr, f.terms, f.memoryMB)
	if err := os.WriteFile(m.settings, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(nodeProgram)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMSTAND_BOOT=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	f.mu.Lock()
	m.node, m.done = cmd, done
	f.mu.Unlock()
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := f.awaitReady(m, 15*time.Second); err != nil {
			return err
		}
	}
	// Traffic starts 8 s after the machines do; here, when all know each other.
	time.Sleep(2 * time.Second)
	return nil
}

func (f *fleet) awaitReady(m *machine, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, f.ports.ready))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %s", m.ip, limit)
}

func (f *fleet) outbound(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.ports.outbound) }

// kill ends a node at once and waits for it.
func (m *machine) kill() {
	if m.node == nil {
		return
	}
	_ = m.node.Process.Kill()
	<-m.done
}

func (m *machine) ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
		m.worker.listener.Close()
	}
	f.store.server.Close()
}
