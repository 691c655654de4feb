package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"gypsumstand/platform/names"
	"gypsumstand/platform/standin"
)

// The services: orders run at most once, the catalogue may run again. No route leads to
// the archive.
const (
	serviceOrders    = "orders"
	serviceCatalogue = "catalogue"
	serviceArchive   = "archive"
)

// Bounds that nodes are given, and that the checks hold them to.
const (
	retryRatio   = 0.2
	retryExtra   = 40
	routeTimeout = 1500 * time.Millisecond
	stopTimeout  = 6 * time.Second
	leaveGrace   = 1200 * time.Millisecond
	workerSlots  = 18
)

// fleet is a deployment: a store in this process, and on each machine a worker in this
// process and a node in one of its own. Each machine has IP numbers of its own on the
// loopback network; what crosses between machines, to the store and to the worker
// passes a proxy.
type fleet struct {
	dir      string
	program  string
	peerPort string
	ledger   *ledger
	store    *standin.Store
	storeAt  net.Listener
	machines []*machine

	// deadly counts the callers of deadly requests, watching the watches of versions.
	deadly, watching sync.WaitGroup
	// silent are the addresses of listed workers whose nodes never answer.
	silent []net.Listener
	// coldWorkers: workers are cold after their start.
	coldWorkers bool

	mu sync.Mutex
	// evacuations counts those under way, by zone.
	evacuations map[string]int
	// version is that of the newest configuration.
	version int
}

// machine is one node with its worker and wires.
type machine struct {
	fleet   *fleet
	index   int
	service string
	worker  *standin.Worker
	// peerWire leads peers to the node, storeWire the node to the store and
	// workerWire the node to its worker.
	peerWire, storeWire, workerWire *proxy
	caller, operator                string
	settings                        string

	mu sync.Mutex
	// process is nil while the node is down.
	process *process
	lives   int
	// born tells the worker's lives under one id apart.
	born int
	// ended: the worker's process is down.
	ended bool
	// spoil is how the worker spoils a part of its answers; empty for not.
	spoil string
	count int
}

// process is one life of a node.
type process struct {
	cmd *exec.Cmd
	// expected: its end was asked for.
	expected bool
	ended    chan struct{}
}

// ip returns a machine's IP number; soaks that run beside each other have others.
func ip(network, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", network, os.Getpid()%250, machine+1)
}

// Networks of the machines' IP numbers.
const (
	networkNode = iota + 70
	networkPeer
	networkStore
	networkWorker
	networkSilent
)

// pageItems is how many items the store puts on a page, so that a whole list has several.
const pageItems = 4

// newFleet starts a deployment of n machines; its nodes write their logs to dir.
func newFleet(ctx context.Context, cfg Config, l *ledger) (*fleet, error) {
	f := &fleet{
		dir: cfg.Dir, program: cfg.Program, ledger: l, store: standin.NewStore(),
		coldWorkers: cfg.Plan.hasColdWorkers(), evacuations: map[string]int{},
	}
	f.store.PageItems = pageItems
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = at
	go func() {
		// It ends when the listener is closed.
		_ = http.Serve(at, f.store)
	}()
	if f.peerPort, err = freePort(ip(networkNode, 0)); err != nil {
		return nil, err
	}
	for i := range cfg.Machines {
		if err := f.addMachine(i); err != nil {
			return nil, errors.Join(err, f.close())
		}
	}
	f.configure(ctx)
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return nil, errors.Join(err, f.close())
		}
	}
	return f, nil
}

// Ports of nodes lie below those that the system gives to outgoing connections: one of
// these may take a port that is free now before its node listens.
const (
	firstPort = 10_000
	portCount = 20_000
	portTries = 100
)

func freePort(host string) (string, error) {
	var failed error
	for range portTries {
		port := strconv.Itoa(firstPort + rand.IntN(portCount))
		l, err := net.Listen("tcp", net.JoinHostPort(host, port))
		if err == nil {
			return port, l.Close()
		}
		failed = err
	}
	return "", failed
}

func (f *fleet) addMachine(i int) error {
	m := &machine{fleet: f, index: i, service: serviceOrders}
	if i%2 == 1 {
		m.service = serviceCatalogue
	}
	l, err := net.Listen("tcp", ip(networkNode, i)+":0")
	if err != nil {
		return err
	}
	m.worker = standin.NewWorker(standin.WorkerConfig{Service: m.service, OnRun: m.ran, Fault: m.fault}, m.lifeID(), l)
	var errs [5]error
	m.peerWire, errs[0] = newProxy(net.JoinHostPort(ip(networkPeer, i), f.peerPort), net.JoinHostPort(ip(networkNode, i), f.peerPort))
	m.storeWire, errs[1] = newProxy(ip(networkStore, i)+":0", f.storeAt.Addr().String())
	m.workerWire, errs[2] = newProxy(ip(networkWorker, i)+":0", m.worker.Address())
	m.caller, errs[3] = freeAddress(ip(networkNode, i), f.peerPort)
	m.operator, errs[4] = freeAddress(ip(networkNode, i), f.peerPort, portOf(m.caller))
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	f.machines = append(f.machines, m)
	m.list(names.StateReady)
	return m.writeSettings()
}

// freeAddress returns an address whose port is none of those that are taken but not yet
// listened on.
func freeAddress(host string, taken ...string) (string, error) {
	for {
		port, err := freePort(host)
		if err != nil || !slices.Contains(taken, port) {
			return net.JoinHostPort(host, port), err
		}
	}
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

func (m *machine) writeSettings() error {
	m.settings = filepath.Join(m.fleet.dir, fmt.Sprintf("node-%d.toml", m.index))
	text := fmt.Sprintf(`instance = %q
service = %q
data_centre = "dc-%d"
caller_address = %q
peer_address = %q
operator_address = %q
worker_address = %q
stop_timeout_ms = %d
leave_grace_ms = %d
request_log_lines = 2000
log_level = "debug"
[directory]
address = %q
retry_ratio = %g
retry_extra = %d
%s`, ip(networkPeer, m.index), m.service, m.index%3, m.caller, net.JoinHostPort(ip(networkNode, m.index), m.fleet.peerPort),
		m.operator, m.workerWire.address(), stopTimeout.Milliseconds(), leaveGrace.Milliseconds(), m.storeWire.address(), retryRatio, retryExtra, warmingSettings)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

func (m *machine) lifeID() string { return fmt.Sprintf("w%d-%d", m.index, m.lives) }

// list writes the worker's entry.
func (m *machine) list(state string) { m.fleet.store.PutWorker(m.entry(state)) }

func (m *machine) entry(state string) standin.WorkerEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return standin.WorkerEntry{
		ID: m.worker.ID(), Service: m.service, Zone: zoneOf(m.index),
		Address: net.JoinHostPort(ip(networkPeer, m.index), "80"), State: state, Started: int64(m.born), Slots: workerSlots,
		ColdLeftMs: m.worker.ColdRemaining().Milliseconds(),
	}
}

// start starts the node.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, fmt.Sprintf("node-%d.log", m.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.fleet.program, "-settings", m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	err = cmd.Start()
	log.Close()
	if err != nil {
		return err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	m.process = p
	m.fleet.ledger.started(m.index)
	go m.await(p)
	return nil
}

// await notes the end of a process.
func (m *machine) await(p *process) {
	err := p.cmd.Wait()
	m.mu.Lock()
	if !p.expected {
		m.fleet.ledger.violate("process", "node %d ended by itself: %v", m.index, err)
	}
	if m.process == p {
		m.process = nil
		m.fleet.ledger.stopped(m.index)
	}
	m.mu.Unlock()
	close(p.ended)
}

// signal sends a signal to the node, if it runs; ending says that it should end.
func (m *machine) signal(s syscall.Signal, ending bool) *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.process
	if p == nil {
		return nil
	}
	p.expected = p.expected || ending
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		m.fleet.ledger.violate("soak", "signal %v to node %d: %v", s, m.index, err)
	}
	return p
}

// startAgain starts the node unless it runs.
func (m *machine) startAgain() {
	m.mu.Lock()
	down := m.process == nil
	m.mu.Unlock()
	if !down {
		return
	}
	if err := m.start(); err != nil {
		m.fleet.ledger.violate("soak", "start node %d: %v", m.index, err)
	}
}

// killTime is how long after SIGTERM a node is killed.
const killTime = stopTimeout + 2*time.Second

// stopGracefully ends the node by SIGTERM and waits for its end.
func (m *machine) stopGracefully() {
	p := m.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	timer := time.NewTimer(killTime)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		m.fleet.ledger.violate("stop", "node %d did not stop in %s", m.index, killTime)
		m.signal(syscall.SIGKILL, true)
		<-p.ended
	}
}

// spoilEvery is how many answers pass for each that is spoilt.
const spoilEvery = 4

// fault implements standin.WorkerConfig.Fault.
func (m *machine) fault() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	if m.spoil == "" || m.count%spoilEvery != 0 {
		return ""
	}
	return m.spoil
}

func (m *machine) setSpoil(how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spoil = how
}

// nextLife ends the worker's life, whose entry goes, and begins another.
func (m *machine) nextLife() {
	m.fleet.store.Remove(names.WorkerKeyPrefix + m.worker.ID())
	m.mu.Lock()
	m.lives++
	id := m.lifeID()
	m.mu.Unlock()
	m.worker.Restart(id)
	m.chill(coldAfterStart)
	m.list(names.StateReady)
}

// crash ends the worker's life; it starts again under the same id.
func (m *machine) crash() {
	m.mu.Lock()
	m.born++
	m.mu.Unlock()
	m.worker.Restart(m.worker.ID())
	m.chill(coldAfterStart)
	m.list(names.StateReady)
}

// configure writes the next configuration.
func (f *fleet) configure(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Put(names.ConfigKey, configuration(f.version, f.coldWorkers))
	f.ledger.configured(f.version)
	if ctx.Err() == nil {
		f.watchVersion(ctx, f.version)
	}
}

func (f *fleet) newest() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// close ends everything that the fleet started, by the processes it started.
func (f *fleet) close() error {
	for _, l := range f.silent {
		l.Close()
	}
	for _, m := range f.machines {
		if p := m.signal(syscall.SIGKILL, true); p != nil {
			<-p.ended
		}
		m.worker.Close()
		for _, w := range []*proxy{m.peerWire, m.storeWire, m.workerWire} {
			w.close()
		}
	}
	return f.storeAt.Close()
}
