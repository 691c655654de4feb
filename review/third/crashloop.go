package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case, those of Brethyn: orders and garment lists.
const (
	listTimeoutMs  = 3000
	listDeadlineMs = 4000
	listWorkMs     = 550
	browseWorkMs   = 220
	loopClients    = 12
	loopPause      = 250 * time.Millisecond
	// crashCount is how often all workers of the service crash, downFor how long they are away,
	// and crashAfter how long they have worked when they crash again.
	crashCount = 2
	downFor    = time.Second
	crashAfter = 200 * time.Millisecond
	// calmFor is the time without any disruption before requests are counted (recovery_s),
	// countFor how long they are counted.
	calmFor  = 15 * time.Second
	countFor = 20 * time.Second
	// minLater is the number of requests on later routes from which the rule counts.
	minLater = 20
)

// loopDay is the state of the case.
type loopDay struct {
	f   *fleet
	rec *record

	serial   atomic.Int64
	counting atomic.Bool
	stop     chan struct{}

	mu sync.Mutex
	// asked and served count clients' requests by route while they are counted, tries the
	// statuses of all client attempts.
	asked, served map[string]int
	tries         map[string]int
}

// crashLoop plays a service all of whose workers crash twice in a row, and counts afterwards
// what its callers get.
func crashLoop(dir, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return unknown
	}
	f, err := newFleet(dir, "siop", "ysgol", "siop", "ysgol", "siop", "ysgol")
	if err != nil {
		rec.tell("%v", err)
		return unknown
	}
	defer f.close()
	first := []routeSpec{{"r-browse", "siop.example", "/catalogue/", "idempotent", "siop", 1200, 600}}
	f.configure(first)
	if err := f.startAll(); err != nil {
		rec.tell("%v", err)
		return unknown
	}
	// The second configuration adds a route.
	f.configure(append(first, routeSpec{"r-list", "ysgol.example", "/lists/", "idempotent", "ysgol", listTimeoutMs, 1500}))
	rec.say("the configuration with the later route is acknowledged")
	time.Sleep(3 * time.Second)
	d := &loopDay{f: f, rec: rec, stop: make(chan struct{}), asked: map[string]int{}, served: map[string]int{}, tries: map[string]int{}}
	var wg sync.WaitGroup
	for i := range loopClients {
		wg.Go(func() { d.client(f.machines[i%len(f.machines)], "first") })
		wg.Go(func() { d.client(f.machines[i%len(f.machines)], "later") })
	}
	time.Sleep(4 * time.Second)
	if isTrouble() {
		if err := d.crashes(); err != nil {
			rec.tell("%v", err)
			return unknown
		}
	}
	time.Sleep(calmFor)
	rec.say("counting begins")
	d.counting.Store(true)
	time.Sleep(countFor)
	d.counting.Store(false)
	close(d.stop)
	wg.Wait()
	return d.judge()
}

// client sends one request after another on a route and tries each once more, as told, when it
// is refused.
func (d *loopDay) client(m *machine, route string) {
	for {
		select {
		case <-d.stop:
			return
		case <-time.After(loopPause):
		}
		counted := d.counting.Load()
		began, served := time.Now(), false
		for try := 0; try < 2 && !served; try++ {
			left := listDeadlineMs - int(time.Since(began).Milliseconds())
			s := d.request(route, left)
			c, err := net.DialTimeout("tcp", d.f.outbound(m), time.Second)
			if err != nil {
				s.err = err
			} else {
				s.exchange(c, bufio.NewReader(c))
				c.Close()
			}
			served = s.err == nil && s.status == 200 && s.signature != ""
			d.note(s, route, counted)
			if !served {
				time.Sleep(min(retryAfter(s), time.Duration(left)*time.Millisecond/3))
			}
		}
		if counted {
			d.mu.Lock()
			d.asked[route]++
			if served {
				d.served[route]++
			}
			d.mu.Unlock()
		}
	}
}

// request returns a request of a route. As in the users' example of a client request, those of a
// route differ in their ids only.
func (d *loopDay) request(route string, leftMs int) *sent {
	s := &sent{id: fmt.Sprintf("9c41d07be2%06x", d.serial.Add(1)), method: "GET", host: "siop.example", target: "/catalogue/2f", kind: "idempotent", deadlineMs: leftMs, work: browseWorkMs}
	if route == "later" {
		s.host, s.target, s.work = "ysgol.example", "/lists/2f", listWorkMs
	}
	return s
}

func (d *loopDay) note(s *sent, route string, counted bool) {
	d.rec.say("sent  %s %s %s (%s route)", s.id, s.method, s.target, route)
	d.rec.answer(s)
	d.rec.runs(d.f.ledger, s)
	if counted {
		d.mu.Lock()
		d.tries[fmt.Sprintf("%s %d", route, s.status)]++
		d.mu.Unlock()
	}
}

// retryAfter is how long the answer asks to wait.
func retryAfter(s *sent) time.Duration { return time.Duration(s.retryAfter * float64(time.Second)) }

// crashes lets all workers of the later route's service crash and come back, crashCount times.
func (d *loopDay) crashes() error {
	for i := range crashCount {
		if i > 0 {
			d.awaitWork()
			time.Sleep(crashAfter)
		}
		for _, m := range d.f.machines {
			if m.service == "ysgol" {
				m.worker.crash()
			}
		}
		d.rec.say("all workers of ysgol crash")
		time.Sleep(downFor)
		for _, m := range d.f.machines {
			if m.service != "ysgol" {
				continue
			}
			old := m.worker
			w, err := startWorker(fmt.Sprintf("%s%d", old.id, i), old.service, old.address, d.f.ledger)
			if err != nil {
				return err
			}
			m.worker = w
			d.f.list(m, "ready")
			d.f.store.delete("servers/" + old.id)
		}
		d.rec.say("all workers of ysgol are back, as new incarnations, and stay sound")
	}
	return nil
}

// awaitWork waits until a worker of the service runs a request.
func (d *loopDay) awaitWork() {
	for range 1000 {
		for _, m := range d.f.machines {
			if m.service == "ysgol" && m.worker.busy() {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (d *loopDay) judge() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := func(route string) float64 { return float64(d.served[route]) / float64(max(d.asked[route], 1)) }
	d.rec.tell("calm since %v, counted for %v: first route %d of %d served, later route %d of %d; client attempts by status: %v",
		calmFor, countFor, d.served["first"], d.asked["first"], d.served["later"], d.asked["later"], d.tries)
	for _, m := range d.f.machines {
		if m.ended() {
			d.rec.tell("node %s has ended by itself", m.ip)
			return unknown
		}
	}
	switch {
	case d.asked["later"] < minLater || share("first") < 0.5:
		d.rec.tell("too few requests, or the first route is not served: nothing is shown")
		return unknown
	case share("later") < share("first")/4:
		d.rec.tell("CONFIG is broken: the later route is served less than a quarter as often")
		return broken
	}
	d.rec.tell("CONFIG holds")
	return held
}
