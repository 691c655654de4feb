// Command extralate plays a small deployment whose workers reject requests and send second
// copies of answers late, and checks that no request that must run at most once runs twice, or
// runs although its client was told that it did not.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
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
	folder, err := os.MkdirTemp("", "extralate")
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
	d.play(trouble)
	return d.verdict()
}

type deployment struct {
	rec         *standin.Record
	store       *standin.Store
	workers     []*standin.Worker
	nodes       []*standin.Node
	mu          sync.Mutex
	sent        int
	answers     map[string]int
	statuses    map[string]int
	shed, extra atomic.Bool
}

// machines are those of the site nahk-mesh.
var machines = []struct{ service, zone string }{
	{"lease-portal", "bud-a"}, {"lease-portal", "bud-a"}, {"lease-portal", "bud-a"},
	{"lease-portal", "bud-b"}, {"lease-portal", "bud-b"}, {"lease-portal", "gyor-c"}, {"lease-portal", "gyor-c"},
	{"permit-billing", "bud-a"}, {"permit-billing", "bud-b"}, {"permit-billing", "gyor-c"},
}

var zones = []string{"bud-a", "bud-b", "gyor-c"}

// The site's figures.
const (
	slots      = 11
	workTime   = 42 * time.Millisecond
	deadlineMs = 400
	perSecond  = 83 // rent-invoice and access-permit
	// Calls, parcel-check: for 0.7 of the site-lookups, which are 0.55 of 377 requests.
	callWork       = 15 * time.Millisecond
	callDeadlineMs = 200
	callsPerSecond = 144
	noiseShare     = 25 // in 100
	noiseFactor    = 4
	noiseStep      = 300 * time.Millisecond
)

// The disruptions, at doses of the site's days and troubles.
const (
	// srv_grey, how = "shed all": x = 0.1 for 8.5 s (a site's day has x = 0.55 for 8.5 s).
	shedPart  = 0.1
	shedFor   = 8500 * time.Millisecond
	shedPause = 500 * time.Millisecond
	// garble, how = "extra late": share = 0.6 (two of three workers), x = 0.03 for 5 s. Of the
	// answers it is the rejections of PUT that get a second copy, at most 0.03 of all answers.
	extraPart  = 0.03
	extraFor   = 5 * time.Second
	extraPause = 200 * time.Millisecond
	// playFor is how long the disruptions go on, spell after spell.
	playFor = 90 * time.Second
)

func start(program, folder string, rec *standin.Record) (*deployment, error) {
	d := &deployment{rec: rec, answers: map[string]int{}, statuses: map[string]int{}}
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
		OperatorPort: standin.FreePort(ips...), GraceSeconds: 6, Zones: zones, Region: "hu-central",
	}
	store.Put("op/config", config())
	for i, m := range machines {
		w := &standin.Worker{
			ID: fmt.Sprintf("i-%04x%04x", i+1, os.Getpid()), Service: m.service, Zone: m.zone, Address: ips[i] + ":0",
			Slots: slots, Record: rec,
			WorkOf: func(method string) time.Duration {
				if method == "GET" {
					return callWork
				}
				return workTime
			},
		}
		w.Slow = func() float64 {
			step := uint64(time.Now().UnixNano() / int64(noiseStep))
			hash := (step*0x9e3779b97f4a7c15 + uint64(i)*0xbf58476d1ce4e5b9) * 0x94d049bb133111eb >> 40
			if hash%100 < noiseShare {
				return noiseFactor
			}
			return 1
		}
		if m.service == service {
			w.Shed = func() bool { return d.shed.Load() && rand.Float64() < shedPart }
			if m.zone != "gyor-c" {
				w.ExtraLate = d.extraLate()
			}
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
	workers := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 220, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-invoice", "host": host, "prefix": prefix, "kind": "non_idempotent",
				"timeout_ms": deadlineMs, "target_latency_ms": 150, "priority": 0, "service": service, "max_attempts": 2,
			},
			map[string]any{
				"name": "r-parcel", "host": host, "prefix": callPrefix, "kind": "idempotent",
				"timeout_ms": callDeadlineMs, "target_latency_ms": 80, "priority": 2, "service": service, "max_attempts": 2,
			},
		},
		"services": []any{workers("lease-portal"), workers(service)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func (d *deployment) play(trouble bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := make(chan struct{})
	defer close(stop)
	wg.Go(func() { sendUntil(stop, perSecond, func() { d.send(d.nodes[rand.IntN(len(d.nodes))]) }) })
	wg.Go(func() { sendUntil(stop, callsPerSecond, func() { d.call(d.nodes[rand.IntN(portals)]) }) })
	time.Sleep(3 * time.Second)
	if trouble {
		go d.spells(&d.shed, "srv_grey shed all", shedFor, shedPause, stop)
		go d.spells(&d.extra, "garble extra late", extraFor, extraPause, stop)
	}
	time.Sleep(playFor)
}

// extraLate returns the decision of one worker which answers get a second copy.
func (d *deployment) extraLate() func(method string, status int) bool {
	var mu sync.Mutex
	answers, extras := 0, 0
	return func(method string, status int) bool {
		if !d.extra.Load() {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		answers++
		if method != "PUT" || status != 503 || float64(extras+1) > extraPart*float64(answers) {
			return false
		}
		extras++
		return true
	}
}

// spells switches a disruption on and off by turns until stop is closed.
func (d *deployment) spells(on *atomic.Bool, name string, length, pause time.Duration, stop <-chan struct{}) {
	for {
		d.rec.Line("disruption: %s begins", name)
		on.Store(true)
		select {
		case <-stop:
			return
		case <-time.After(length):
		}
		d.rec.Line("disruption: %s ends", name)
		on.Store(false)
		time.Sleep(pause)
	}
}

// sendUntil calls send about perSecond times a second, at random moments, until stop is closed.
func sendUntil(stop <-chan struct{}, perSecond float64, send func()) {
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		wg.Go(send)
	}
}

const (
	host       = "invoices.example"
	prefix     = "/invoice/"
	callPrefix = "/parcel/"
	service    = "permit-billing"
	// portals is the number of machines of lease-portal, the first ones, whose workers make the
	// calls.
	portals = 7
)

// call sends a call, which may run more than once, as the worker beside n does.
func (d *deployment) call(n *standin.Node) {
	id := standin.NewID()
	d.rec.Line("worker beside %s: calls %s (GET %s%s)", n.Caller, id, host, callPrefix)
	a := standin.Send(standin.Request{
		Address: n.Caller, Method: "GET", Host: host, Path: callPrefix + id, ID: id, DeadlineMs: callDeadlineMs,
	})
	d.rec.Line("worker beside %s: %s gets %s", n.Caller, id, a)
}

func (d *deployment) send(n *standin.Node) {
	id := standin.NewID()
	d.rec.Line("client: sends %s (PUT %s%s) to %s", id, host, prefix, n.Caller)
	a := standin.Send(standin.Request{
		Address: n.Caller, Method: "PUT", Host: host, Path: prefix + id, ID: id, DeadlineMs: deadlineMs,
		Body: make([]byte, 1200),
	})
	status := fmt.Sprint(a.Status)
	if a.Err != nil {
		status = "none"
	}
	d.mu.Lock()
	d.sent++
	d.answers[status]++
	d.statuses[id] = a.Status
	d.mu.Unlock()
	d.rec.Line("client: %s gets %s", id, a)
}

func (d *deployment) stop() {
	for _, n := range d.nodes {
		n.Kill()
	}
}

func (d *deployment) verdict() int {
	runs := map[string][]string{}
	for _, w := range d.workers {
		for id, n := range w.Runs() {
			for range n {
				runs[id] = append(runs[id], w.ID)
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	twice, refused, ran := 0, 0, 0
	for id, at := range runs {
		if _, put := d.statuses[id]; !put {
			continue // a call
		}
		ran++
		if len(at) > 1 {
			twice++
			d.rec.Line("BROKEN TWICE: %s ran at %v", id, at)
		}
		if s := d.statuses[id]; s == 503 || s == 429 {
			refused++
			d.rec.Line("BROKEN REFUSED: %s was answered %d and ran at %v", id, s, at)
		}
	}
	line := fmt.Sprintf("%d requests, answers %v, %d ran, %d of them twice, %d of them refused as not run", d.sent, d.answers, ran, twice, refused)
	d.rec.Line("%s", line)
	fmt.Println(line)
	if twice+refused > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}
