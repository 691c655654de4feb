// Command memory plays a small deployment in which clients send long bodies in chunks, within
// the operator's limits, and many come at once. A stand-in for the platform kills a process
// that exceeds its machine's memory and starts it again, and counts these ends.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/standin"
)

// machines are those of the site inyange-kgl.
var machines = []struct{ service, zone string }{
	{"voucher-portal", "kgl-nyarugenge"}, {"voucher-portal", "kgl-nyarugenge"}, {"voucher-portal", "kgl-gasabo"}, {"voucher-portal", "kgl-kicukiro"},
	{"payout-engine", "kgl-nyarugenge"}, {"payout-engine", "kgl-gasabo"}, {"payout-engine", "kgl-kicukiro"},
	{"statement-desk", "kgl-nyarugenge"}, {"statement-desk", "kgl-nyarugenge"}, {"statement-desk", "kgl-gasabo"}, {"statement-desk", "kgl-kicukiro"},
}

var zones = []string{"kgl-nyarugenge", "kgl-gasabo", "kgl-kicukiro"}

// The site's figures.
const (
	slots        = 18
	workTime     = 290 * time.Millisecond
	deadlineMs   = 5000
	perSecond    = 36
	memoryKB     = 284 << 10 // memory_mb of a machine
	maxBodyBytes = 67108864
)

// The long requests: each of two machines has a client for which one is due each longEvery; it
// leaves in chunks over longFor.
const (
	longMachines = 2
	longBytes    = 63 << 20
	longEvery    = 900 * time.Millisecond
	longFor      = 1800 * time.Millisecond
)

// The disruption: burst, x = 1.7 for 3 s, burstCount times.
const (
	burstX     = 1.7
	burstFor   = 3 * time.Second
	burstEvery = 9 * time.Second
	burstCount = 7
	// firstBurst is when the first one begins.
	firstBurst = 8 * time.Second
)

// startDelay is how long the platform waits before it starts a killed process again.
const startDelay = 500 * time.Millisecond

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := standin.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	folder, err := os.MkdirTemp("", "memory")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer os.RemoveAll(folder)
	d, err := start(os.Args[1], folder, rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		fmt.Println("the case can't run:", err)
		return 2
	}
	d.play(trouble)
	return d.verdict()
}

type deployment struct {
	rec     *standin.Record
	workers []*standin.Worker
	nodes   []*standin.Node
	burst   atomic.Bool
	ended   atomic.Bool
	mu      sync.Mutex
	sent    int
	answers map[string]int
	kills   map[string]int
	peakKB  map[string]int
}

func start(program, folder string, rec *standin.Record) (*deployment, error) {
	d := &deployment{rec: rec, answers: map[string]int{}, kills: map[string]int{}, peakKB: map[string]int{}}
	net := standin.RandomNet()
	store, err := standin.NewStore(net + ".250")
	if err != nil {
		return nil, err
	}
	var ips []string
	for i := range machines {
		ips = append(ips, fmt.Sprintf("%s.%d", net, i+1))
	}
	cfg := standin.NodeConfig{
		Program: program, Folder: folder, Store: store.Address, CallerPort: standin.FreePort(ips...), PeerPort: standin.FreePort(ips...),
		OperatorPort: standin.FreePort(ips...), GraceSeconds: 6, Zones: zones, Region: "kigali",
	}
	store.Put("op/config", config())
	for i, m := range machines {
		w := &standin.Worker{
			ID: fmt.Sprintf("i-%04x%04x", i+1, os.Getpid()), Service: m.service, Zone: m.zone, Address: ips[i] + ":0",
			Slots: slots, Work: workTime, Record: rec,
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

const (
	host    = "payouts.example"
	prefix  = "/payout/"
	service = "payout-engine"
)

func config() map[string]any {
	workers := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-payout", "host": host, "prefix": prefix, "kind": "non_idempotent",
			"timeout_ms": 2500, "target_latency_ms": 800, "priority": 1, "service": service, "max_attempts": 2,
		}},
		"services": []any{workers("voucher-portal"), workers(service), workers("statement-desk")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func (d *deployment) play(trouble bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer d.ended.Store(true)
	for _, n := range d.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.watchMemory(n)
		}()
	}
	for _, n := range d.nodes[:longMachines] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.sendLong(n)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		d.sendShort()
	}()
	time.Sleep(firstBurst)
	for i := range burstCount {
		if trouble {
			d.rec.Line("disruption: burst %d begins, %.1f times the usual requests", i+1, burstX)
			d.burst.Store(true)
		}
		time.Sleep(burstFor)
		d.burst.Store(false)
		d.rec.Line("burst %d is over", i+1)
		time.Sleep(burstEvery - burstFor)
	}
}

// every returns the time between two requests that usually come each usual.
func (d *deployment) every(usual time.Duration) time.Duration {
	if d.burst.Load() {
		return time.Duration(float64(usual) / burstX)
	}
	return usual
}

func (d *deployment) sendLong(n *standin.Node) {
	d.sendEach(longEvery, func() {
		id := standin.NewID()
		d.rec.Line("client: sends %s (POST %s%s, %d bytes in chunks) to %s", id, host, prefix, longBytes, n.Caller)
		d.answered(id, standin.SendChunks(request(n, id), longBytes, longFor))
	})
}

func (d *deployment) sendShort() {
	d.sendEach(time.Second/perSecond, func() {
		id := standin.NewID()
		r := request(d.nodes[rand.IntN(len(d.nodes))], id)
		r.Body = make([]byte, 1200)
		d.answered(id, standin.Send(r))
	})
}

func (d *deployment) sendEach(usual time.Duration, send func()) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for !d.ended.Load() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			send()
		}()
		time.Sleep(d.every(usual))
	}
}

func request(n *standin.Node, id string) standin.Request {
	return standin.Request{Address: n.Caller, Method: "POST", Host: host, Path: prefix + id, ID: id, DeadlineMs: deadlineMs}
}

func (d *deployment) answered(id string, a standin.Answer) {
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

// watchMemory does what the platform does: a process that exceeds its machine's memory is
// killed, and started again after a short delay.
func (d *deployment) watchMemory(n *standin.Node) {
	for !d.ended.Load() {
		time.Sleep(10 * time.Millisecond)
		kb := residentKB(n.Pid())
		d.mu.Lock()
		d.peakKB[n.IP] = max(d.peakKB[n.IP], kb)
		d.mu.Unlock()
		if kb <= memoryKB {
			continue
		}
		d.rec.Line("platform: the process of %s has %d kB, %d are allowed: killed", n.IP, kb, memoryKB)
		n.Kill()
		d.mu.Lock()
		d.kills[n.IP]++
		d.mu.Unlock()
		time.Sleep(startDelay)
		if err := n.Start(); err != nil {
			d.rec.Line("platform: %v", err)
			return
		}
	}
}

// residentKB returns the resident memory of a process in kB.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

func (d *deployment) stop() {
	for _, n := range d.nodes {
		n.Kill()
	}
}

// endsThatCount is how often processes must end by themselves on how many machines for a
// fault: three times, on a tenth of the machines, two at least.
const (
	endsThatCount     = 3
	machinesThatCount = 2
)

func (d *deployment) verdict() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	often, peak := 0, 0
	for _, n := range d.kills {
		if n >= endsThatCount {
			often++
		}
	}
	for _, kb := range d.peakKB {
		peak = max(peak, kb)
	}
	line := fmt.Sprintf("%d requests, answers %v; ends over the memory by machine %v; largest resident memory %d kB of %d", d.sent, d.answers, d.kills, peak, memoryKB)
	d.rec.Line("%s", line)
	fmt.Println(line)
	if often >= machinesThatCount {
		fmt.Println("Fault: processes ended by themselves three times on two machines")
		return 1
	}
	fmt.Println("held")
	return 0
}
