package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumstand/platform/names"
	"gypsumstand/platform/standin"
)

// The services: the fleet runs an order at most once and may repeat catalogue requests.
// No route leads to the archive.
const (
	serviceOrders    = "orders"
	serviceCatalogue = "catalogue"
	serviceArchive   = "archive"
)

// Limits in the nodes' settings, which the checks enforce.
const (
	retryRatio       = 0.2
	retryExtra       = 40
	routeTimeout     = 1500 * time.Millisecond
	stopTimeout      = 6 * time.Second
	leaveGracePeriod = 1200 * time.Millisecond
	workerSlots      = 18
)

// fleet is a deployment: a store in this process and, on each machine, a worker in this
// process and a node in a process of its own. Each machine has its own IP addresses on
// the loopback network; traffic between machines, to the store and to the worker passes a
// proxy.
type fleet struct {
	dir           string
	program       string
	firstNetwork  int
	peerPort      string
	ledger        *ledger
	store         *standin.Store
	storeListener net.Listener
	machines      []*machine

	// deadlyCallers counts the running callers of deadly requests, watchers the running
	// watches of versions.
	deadlyCallers, watchers sync.WaitGroup
	// unresponsive are the listeners of listed workers whose nodes never respond.
	unresponsive []net.Listener
	// coldWorkers makes workers cold after their start.
	coldWorkers bool
	// linkRate is the bytes a second of each machine's links; zero for no limit.
	linkRate int
	// hard is set under PlanHard, in which workers make calls.
	hard  bool
	calls workerCalls
	// grownRoutes is the number of routes by which the configuration has grown.
	grownRoutes int

	// restoring is set while the store is being restored.
	restoring atomic.Bool

	mu sync.Mutex
	// evacuations counts the overlapping evacuations in progress, by zone.
	evacuations map[string]int
	// version is the version of the newest configuration.
	version int
}

// machine is a simulated host with one node, its worker and the proxies around them.
type machine struct {
	fleet   *fleet
	index   int
	service string
	worker  *standin.Worker
	// peerProxy connects peers to the node, storeProxy the node to the store, and
	// workerProxy the node to its worker.
	peerProxy, storeProxy, workerProxy *proxy
	caller, operator                   string
	settings                           string
	// limited is set while the worker names a rate limit.
	limited atomic.Bool
	// workerClient makes the worker's calls.
	workerClient *client

	mu sync.Mutex
	// process is nil while the node is down.
	process            *process
	workerReplacements int
	// workerRestarts tells apart the worker's incarnations under one id.
	workerRestarts int
	// listedState is the state in the entry that the worker last wrote, and entryReplaced is
	// set while another writer's entry takes its place.
	listedState   string
	entryReplaced bool
	// workerDown is set from a crash of the worker's process until its restart.
	workerDown bool
	// responseFault is the fault injected into part of the worker's responses; empty for
	// none.
	responseFault string
	responses     int
}

// Second octets of the machines' IP addresses, by purpose, counted from a soak's
// firstNetwork.
const (
	networkNode = iota
	networkPeer
	networkStore
	networkWorker
	networkUnresponsive
	networkCount
)

// A process's soaks take networks in turn, from the lowest; soakRanges is the number of
// soaks that it can run at the same time.
const (
	lowestNetwork = 70
	soakRanges    = (256 - lowestNetwork) / networkCount
	// processRanges is the number of third octets, by which processes' soaks differ.
	processRanges = 250
)

// soaksStarted counts the soaks of this process.
var soaksStarted atomic.Uint32

// nextFirstNetwork returns the lowest network of the next soak.
func nextFirstNetwork() int {
	n := int(soaksStarted.Add(1)-1) % soakRanges
	return lowestNetwork + n*networkCount
}

// ip returns a machine's IP address; concurrent soaks use different ones.
func (f *fleet) ip(network, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.firstNetwork+network, os.Getpid()%processRanges, machine+1)
}

// pageItems is the store's page size, small enough that a full list spans several pages.
const pageItems = 4

// newFleet starts a deployment of cfg.Machines machines; its nodes write their logs to
// cfg.Dir.
func newFleet(ctx context.Context, cfg Config, l *ledger) (*fleet, error) {
	f := &fleet{
		dir: cfg.Dir, program: cfg.Program, firstNetwork: nextFirstNetwork(), ledger: l, store: standin.NewStore(),
		coldWorkers: cfg.Plan.hasColdWorkers(), linkRate: cfg.Plan.linkRate(), hard: cfg.Plan.hard(), evacuations: map[string]int{},
	}
	f.store.PageItems = pageItems
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeListener = storeListener
	go func() {
		// Serve returns when the listener is closed.
		_ = http.Serve(storeListener, f.store)
	}()
	if f.peerPort, err = freePort(f.ip(networkNode, 0)); err != nil {
		return nil, err
	}
	for i := range cfg.Machines {
		if err := f.addMachine(i); err != nil {
			return nil, errors.Join(err, f.close())
		}
	}
	f.configure(ctx)
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return nil, errors.Join(err, f.close())
		}
	}
	return f, nil
}

// Ports of nodes lie below the ephemeral range, from which the operating system might
// give a port that is free now to an outgoing connection before its node listens.
const (
	firstPort = 10_000
	portCount = 20_000
	portTries = 100
)

func freePort(host string) (string, error) {
	var lastErr error
	for range portTries {
		port := strconv.Itoa(firstPort + rand.IntN(portCount))
		l, err := net.Listen("tcp", net.JoinHostPort(host, port))
		if err == nil {
			return port, l.Close()
		}
		lastErr = err
	}
	return "", lastErr
}

func (f *fleet) addMachine(i int) error {
	m := &machine{fleet: f, index: i, service: serviceOrders}
	if i%2 == 1 {
		m.service = serviceCatalogue
	}
	l, err := net.Listen("tcp", f.ip(networkNode, i)+":0")
	if err != nil {
		return err
	}
	workerConfig := standin.WorkerConfig{Service: m.service, OnRun: m.onRun, Fault: m.nextResponseFault}
	if f.hard {
		workerConfig = m.hardWorkerConfig(workerConfig)
	}
	m.worker = standin.NewWorker(workerConfig, m.workerID(), l)
	var errs [5]error
	m.peerProxy, errs[0] = newProxy(net.JoinHostPort(f.ip(networkPeer, i), f.peerPort), net.JoinHostPort(f.ip(networkNode, i), f.peerPort), f.linkRate)
	m.storeProxy, errs[1] = newProxy(f.ip(networkStore, i)+":0", f.storeListener.Addr().String(), f.linkRate)
	m.workerProxy, errs[2] = newProxy(f.ip(networkWorker, i)+":0", m.worker.Address(), 0)
	m.caller, errs[3] = freeAddress(f.ip(networkNode, i), f.peerPort)
	m.operator, errs[4] = freeAddress(f.ip(networkNode, i), f.peerPort, portOf(m.caller))
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	f.machines = append(f.machines, m)
	m.listWorker(names.StateReady)
	return m.writeSettings()
}

// freeAddress returns an address with a free port other than the reserved ones, which are
// assigned but not yet listened on.
func freeAddress(host string, reserved ...string) (string, error) {
	for {
		port, err := freePort(host)
		if err != nil || !slices.Contains(reserved, port) {
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
%s`, m.fleet.ip(networkPeer, m.index), m.service, m.index%3, m.caller, net.JoinHostPort(m.fleet.ip(networkNode, m.index), m.fleet.peerPort),
		m.operator, m.workerProxy.address(), stopTimeout.Milliseconds(), leaveGracePeriod.Milliseconds(), m.storeProxy.address(), retryRatio, retryExtra, warmingSettings)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

func (m *machine) workerID() string { return fmt.Sprintf("w%d-%d", m.index, m.workerReplacements) }

// listWorker writes the worker's entry to the store.
func (m *machine) listWorker(state string) {
	m.mu.Lock()
	m.listedState = state
	m.mu.Unlock()
	m.fleet.store.PutWorker(m.workerEntry(state))
}

func (m *machine) workerEntry(state string) standin.WorkerEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	slots := workerSlots
	if m.fleet.hard {
		slots = hardSlots
	}
	return standin.WorkerEntry{
		ID: m.worker.ID(), Service: m.service, Zone: zoneOf(m.index),
		Address: net.JoinHostPort(m.fleet.ip(networkPeer, m.index), "80"), State: state, Started: int64(m.workerRestarts), Slots: slots,
		ColdLeftMs: m.worker.ColdRemaining().Milliseconds(),
	}
}

// responseFaultEvery is the number of responses of which one is faulty.
const responseFaultEvery = 4

// nextResponseFault implements standin.WorkerConfig.Fault.
func (m *machine) nextResponseFault() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responses++
	if m.responseFault == "" || m.responses%responseFaultEvery != 0 {
		return ""
	}
	return m.responseFault
}

func (m *machine) setResponseFault(how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responseFault = how
}

// replaceWorker ends the worker's incarnation, removes its entry, and starts another one
// under a new id.
func (m *machine) replaceWorker() {
	m.fleet.store.Remove(names.WorkerKeyPrefix + m.worker.ID())
	m.mu.Lock()
	m.workerReplacements++
	id := m.workerID()
	m.mu.Unlock()
	m.worker.Restart(id)
	m.setCold(coldDuration)
	m.listWorker(names.StateReady)
}

// restartWorker ends the worker's incarnation and starts another one under the same id.
func (m *machine) restartWorker() {
	m.mu.Lock()
	m.workerRestarts++
	m.mu.Unlock()
	m.worker.Restart(m.worker.ID())
	m.setCold(coldDuration)
	m.listWorker(names.StateReady)
}

// configure writes the next configuration.
func (f *fleet) configure(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Put(names.ConfigKey, f.configuration())
	f.ledger.recordConfig(f.version)
	if ctx.Err() == nil {
		f.watchVersion(ctx, f.version)
	}
}

// configuration returns the text of the newest version; f.mu is held.
func (f *fleet) configuration() string {
	return configuration(f.version, f.coldWorkers, f.grownRoutes, f.hard)
}

// Growth of the configuration. Six machines on narrow links cannot have more routes in force
// within maxApplyTime (docs/CAPACITY.md).
const (
	routesPerGrowth = 1400
	maxGrownRoutes  = 2 * routesPerGrowth
)

// grow writes the next configuration with many routes more, up to a limit.
func (f *fleet) grow(ctx context.Context) {
	f.mu.Lock()
	f.grownRoutes = min(f.grownRoutes+routesPerGrowth, maxGrownRoutes)
	f.mu.Unlock()
	f.configure(ctx)
}

func (f *fleet) newest() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// close kills the fleet's nodes and closes its workers, proxies and listeners.
func (f *fleet) close() error {
	for _, l := range f.unresponsive {
		l.Close()
	}
	for _, m := range f.machines {
		if p := m.signalNode(syscall.SIGKILL, true); p != nil {
			<-p.exited
		}
		m.worker.Close()
		for _, p := range []*proxy{m.peerProxy, m.storeProxy, m.workerProxy} {
			p.close()
		}
	}
	return f.storeListener.Close()
}
