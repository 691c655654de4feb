// Command reuse plays a small deployment in which a worker ends and its address goes to a
// worker of another service, while the process of one machine stands still.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/standin"
)

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := standin.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	folder, err := os.MkdirTemp("", "reuse")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	d, err := start(os.Args[1], folder, rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		fmt.Println("the case can't run:", err)
		return 2
	}
	if err := d.play(trouble); err != nil {
		fmt.Println("the case can't run:", err)
		return 2
	}
	return d.verdict()
}

type deployment struct {
	rec     *standin.Record
	store   *standin.Store
	workers []*standin.Worker
	clients standin.Pool
	nodes   []*standin.Node
	mu      sync.Mutex
	sent    int
	answers map[string]int
}

// Machines by their place in machines.
const (
	// frozen is the machine whose process stands still.
	frozen = 0
	// replaced is the machine whose worker ends.
	replaced = 3
)

// machines are those of the site brethyn-mesh.
var machines = []struct{ service, zone string }{
	{"siop", "bangor-a"}, {"siop", "bangor-b"}, {"siop", "menai"},
	{"archeb", "bangor-a"}, {"archeb", "bangor-b"}, {"archeb", "menai"},
	{"ysgol", "bangor-a"}, {"ysgol", "bangor-a"}, {"ysgol", "bangor-b"}, {"ysgol", "menai"},
}

var zones = []string{"bangor-a", "bangor-b", "menai"}

// Times of the disruptions. The frozen process stands still for endAfter + wakeAfter = 3.8 s.
const (
	// endAfter is how long after the freeze the worker ends.
	endAfter = 500 * time.Millisecond
	// termAfter, reuseAfter and wakeAfter count from the worker's end: the SIGTERM of the node
	// beside it, the start of the other service's worker at its address (reuse_after_s is 2),
	// and the end of the freeze.
	termAfter  = 1500 * time.Millisecond
	reuseAfter = 2050 * time.Millisecond
	wakeAfter  = 3300 * time.Millisecond
	// sendEvery is the time between two requests to the frozen machine.
	sendEvery = 100 * time.Millisecond
	// keptConnections is the number of connections that the clients of the frozen machine keep
	// open; each was used before.
	keptConnections = 50
	// warmTime is how long orders come before the freeze, playTime how long from it on.
	warmTime = 3 * time.Second
	playTime = 6 * time.Second
	// workTime is how long a request takes.
	workTime = 290 * time.Millisecond
)

func start(program, folder string, rec *standin.Record) (*deployment, error) {
	d := &deployment{rec: rec, answers: map[string]int{}}
	net := standin.RandomNet()
	store, err := standin.NewStore(net + ".250")
	if err != nil {
		return nil, err
	}
	d.store = store
	var ips []string
	for i := range machines {
		ips = append(ips, fmt.Sprintf("%s.%d", net, i+1))
	}
	cfg := standin.NodeConfig{
		Program: program, Folder: folder, Store: store.Address, CallerPort: standin.FreePort(ips...), PeerPort: standin.FreePort(ips...),
		OperatorPort: standin.FreePort(ips...), GraceSeconds: 6, Zones: zones, Region: "gogledd",
	}
	store.Put("op/config", config())
	for i, m := range machines {
		w := &standin.Worker{
			ID: fmt.Sprintf("i-%04x%04x", i+1, os.Getpid()), Service: m.service, Zone: m.zone, Address: ips[i] + ":0",
			Slots: 18, Work: workTime, Record: rec,
		}
		if err := w.Start(); err != nil {
			return d, err
		}
		go w.Beat(store, nil)
		n, err := standin.NewNode(cfg, ips[i], m.service, m.zone, w.Address)
		if err != nil {
			return d, err
		}
		if err := n.Start(); err != nil {
			return d, err
		}
		d.workers, d.nodes = append(d.workers, w), append(d.nodes, n)
	}
	if err := standin.WaitReady(d.nodes, 15*time.Second); err != nil {
		return d, err
	}
	time.Sleep(3 * time.Second)
	return d, nil
}

func config() map[string]any {
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 220, "protocol": "h1", "tls": false}
	}
	route := func(name, host, prefix, kind, service string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind,
			"timeout_ms": timeout, "target_latency_ms": 800, "priority": 1, "service": service, "max_attempts": 2,
		}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("r-order", host, prefix, "non_idempotent", "archeb", 1200),
			route("r-school", "schools.example", "/list/", "idempotent", "ysgol", 2500),
		},
		"services": []any{service("siop"), service("archeb"), service("ysgol")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func (d *deployment) play(trouble bool) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	d.openConnections()
	d.sendFor(warmTime)
	// No order of the machine's clients is under way when it is frozen.
	time.Sleep(2 * workTime)
	wg.Add(1)
	go func() {
		defer wg.Done()
		d.sendFor(playTime)
	}()
	if trouble {
		if err := d.disrupt(); err != nil {
			return err
		}
	}
	return nil
}

// disrupt freezes one process. Meanwhile a worker ends, its node gets SIGTERM, and its address
// goes to a worker of another service.
func (d *deployment) disrupt() error {
	process, old, beside := d.nodes[frozen], d.workers[replaced], d.nodes[replaced]
	d.rec.Line("disruption: the process of %s stands still (SIGSTOP)", process.IP)
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(endAfter)
	ended := time.Now()
	d.rec.Line("disruption: worker %s of %s at %s ends", old.ID, old.Service, old.Address)
	old.Crash()
	time.Sleep(time.Until(ended.Add(termAfter)))
	d.rec.Line("disruption: the node beside it gets SIGTERM, 1.5 s after its worker has terminated")
	if err := beside.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(time.Until(ended.Add(reuseAfter)))
	next := &standin.Worker{
		ID: fmt.Sprintf("i-%04x%04x", 99, os.Getpid()), Service: "ysgol", Zone: old.Zone, Address: old.Address,
		Slots: old.Slots, Work: workTime, Record: d.rec,
	}
	if err := next.Start(); err != nil {
		return err
	}
	d.rec.Line("disruption: worker %s of %s starts at the same address, 2.05 s after the other's end", next.ID, next.Service)
	d.workers = append(d.workers, next)
	go next.Beat(d.store, nil)
	time.Sleep(time.Until(ended.Add(wakeAfter)))
	d.rec.Line("disruption: the process of %s goes on (SIGCONT) after 3.8 s", process.IP)
	return process.Signal(syscall.SIGCONT)
}

// openConnections lets the clients of the frozen machine open their connections.
func (d *deployment) openConnections() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range keptConnections {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := standin.NewID()
			a := d.clients.Send(standin.Request{
				Address: d.nodes[frozen].Caller, Method: "GET", Host: "schools.example", Path: "/list/" + id, ID: id, DeadlineMs: 4000,
			})
			d.rec.Line("client: %s (GET schools.example/list/) gets %s", id, a)
		}()
	}
}

// sendFor lets the clients of the frozen machine send orders.
func (d *deployment) sendFor(length time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(sendEvery)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.send(d.nodes[frozen])
		}()
	}
}

const (
	host   = "orders.example"
	prefix = "/order/"
)

func (d *deployment) send(n *standin.Node) {
	id := standin.NewID()
	d.rec.Line("client: sends %s (POST %s%s) to %s", id, host, prefix, n.Caller)
	a := d.clients.Send(standin.Request{
		Address: n.Caller, Method: "POST", Host: host, Path: prefix + id, ID: id, DeadlineMs: 2000,
		Body: make([]byte, 1200),
	})
	status := fmt.Sprint(a.Status)
	if a.Err != nil {
		status = "none"
	}
	d.mu.Lock()
	d.sent++
	d.answers[status]++
	d.mu.Unlock()
	d.rec.Line("client: %s gets %s", id, a)
}

func (d *deployment) stop() {
	for _, n := range d.nodes {
		_ = n.Signal(syscall.SIGCONT)
		n.Kill()
	}
}

func (d *deployment) verdict() int {
	wrong, runs := 0, 0
	for _, w := range d.workers {
		for id, path := range w.Paths() {
			runs++
			if strings.HasPrefix(path, host+prefix) && w.Service != "archeb" {
				wrong++
				d.rec.Line("BROKEN ROUTE: worker %s of %s ran %s (%s), which every configuration sends to archeb", w.ID, w.Service, id, path)
			}
		}
	}
	d.mu.Lock()
	line := fmt.Sprintf("%d requests for archeb, answers %v, %d runs, %d of them by a worker of another service", d.sent, d.answers, runs, wrong)
	d.mu.Unlock()
	d.rec.Line("%s", line)
	fmt.Println(line)
	if wrong > 0 {
		fmt.Println("ROUTE is broken")
		return 1
	}
	fmt.Println("held")
	return 0
}
