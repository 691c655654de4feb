package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Figures of the case: payouts take 1.3 s, have an aim of 5 s and a deadline of 12 s.
const (
	payoutTimeoutMs  = 8000
	payoutTargetMs   = 5000
	payoutDeadlineMs = 12000
	payoutWorkMs     = 1300
	// payoutBytes is more than a node buffers of a body (64 KiB).
	payoutBytes  = 100_000
	goneRounds   = 8
	longPerRound = 8
	// leaveAfter is when clients give up, at the latest after half of the aim.
	leaveAfter = 300 * time.Millisecond
	// lateAfter is the bound of GONE; lateMargin is for the close to reach the node.
	lateAfter  = 500 * time.Millisecond
	lateMargin = 50 * time.Millisecond
	// aFew is taken as the count that GONE allows.
	aFew = 5
)

// gone plays clients that send a long payout and leave while it waits for a slot.
func gone(dir, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return unknown
	}
	f, err := newFleet(dir, "portal", "payout", "portal", "payout")
	if err != nil {
		rec.tell("%v", err)
		return unknown
	}
	defer f.close()
	f.configure([]routeSpec{
		{"r-view", "portal.example", "/vouchers/", "idempotent", "portal", 2000, 600},
		{"r-payout", "payout.example", "/payouts/", "non_idempotent", "payout", payoutTimeoutMs, payoutTargetMs},
	})
	if err := f.startAll(); err != nil {
		rec.tell("%v", err)
		return unknown
	}
	g := &goneDay{f: f, rec: rec, left: map[string]time.Time{}}
	for round := range goneRounds {
		g.round(round)
	}
	// The last runs may still be to come.
	time.Sleep(payoutTimeoutMs * time.Millisecond)
	return g.judge()
}

// goneDay is the state of the case.
type goneDay struct {
	f   *fleet
	rec *record

	mu sync.Mutex
	// left is when a client closed its connection.
	left  map[string]time.Time
	long  []*sent
	count int
}

func (g *goneDay) payout(name string, bytes, work int) *sent {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
	body := make([]byte, bytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	return &sent{id: fmt.Sprintf("9c41d07be2a5%04x", g.count), method: "POST", host: "payout.example", target: fmt.Sprintf("/payouts/%s-%d", name, g.count),
		kind: "non_idempotent", body: body, deadlineMs: payoutDeadlineMs, work: work}
}

// round fills all slots with runs, whose clients stay, and sends long payouts then.
func (g *goneDay) round(round int) {
	var wg sync.WaitGroup
	slots := 0
	for _, m := range g.f.machines {
		if m.service == "payout" {
			slots += m.worker.slots
		}
	}
	for i := range slots {
		wg.Go(func() {
			s := g.payout("short", 100, payoutWorkMs)
			s.sendOrder(g.f.outbound(g.f.machines[i%len(g.f.machines)]))
			g.rec.answer(s)
			g.rec.runs(g.f.ledger, s)
		})
	}
	time.Sleep(150 * time.Millisecond)
	for i := range longPerRound {
		wg.Go(func() {
			s := g.payout("long", payoutBytes, payoutWorkMs)
			g.mu.Lock()
			g.long = append(g.long, s)
			g.mu.Unlock()
			g.sendLong(s, g.f.machines[i%len(g.f.machines)])
		})
	}
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
}

// sendLong sends a payout whole and then leaves, if the case has its disruption; otherwise it
// waits for the answer.
func (g *goneDay) sendLong(s *sent, m *machine) {
	c, err := net.DialTimeout("tcp", g.f.outbound(m), time.Second)
	if err != nil {
		s.err = err
		return
	}
	defer c.Close()
	began := time.Now()
	_ = c.SetDeadline(began.Add(payoutDeadlineMs*time.Millisecond + time.Second))
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		s.read(bufio.NewReader(c))
		s.took = time.Since(began)
	}()
	n, err := io.WriteString(c, s.head()+s.wire())
	g.rec.say("sent  %s %s %s, body %d bytes, to %s: wrote %d bytes in %d ms, %v", s.id, s.method, s.target, len(s.body), m.ip, n, time.Since(began).Milliseconds(), err)
	if !isTrouble() {
		<-answered
		g.rec.answer(s)
		g.rec.runs(g.f.ledger, s)
		return
	}
	select {
	case <-answered:
		g.rec.answer(s)
	case <-time.After(time.Until(began.Add(leaveAfter))):
		c.Close()
		g.mu.Lock()
		g.left[s.id] = time.Now()
		g.mu.Unlock()
		g.rec.say("left  %s: its client has closed the connection", s.id)
		<-answered
	}
}

func (g *goneDay) judge() int {
	late, ran, served, refused := 0, 0, 0, 0
	for _, s := range g.long {
		at, hasLeft := g.left[s.id]
		if !hasLeft {
			switch s.status {
			case 200:
				served++
			case 503:
				refused++
			}
		}
		for _, r := range g.f.ledger.of(s.id) {
			ran++
			if !hasLeft {
				continue
			}
			after := r.at.Sub(at)
			g.rec.say("late  %s ran at %s %d ms after its client had closed its connection, body %d bytes whole: %v", s.id, r.worker, after.Milliseconds(), r.bodyLen, r.body == hash(s.body))
			if after > lateAfter+lateMargin {
				late++
			}
		}
	}
	g.rec.tell("%d long payouts: %d clients left, %d were served, %d refused; %d runs, %d of them over half a second after the client had left", len(g.long), len(g.left), served, refused, ran, late)
	for _, m := range g.f.machines {
		if m.ended() {
			g.rec.tell("node %s has ended by itself", m.ip)
			return unknown
		}
	}
	switch {
	case late > aFew:
		g.rec.tell("GONE is broken")
		return broken
	case isTrouble() && len(g.left) <= aFew, !isTrouble() && served == 0:
		g.rec.tell("too few payouts waited: nothing is shown")
		return unknown
	}
	g.rec.tell("GONE holds")
	return held
}
