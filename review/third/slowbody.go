package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Figures of the case, those of Brethyn's orders: the route's timeout is shorter than the
// client's deadline.
const (
	orderTimeoutMs  = 1200
	orderDeadlineMs = 2000
	orderBytes      = 3000
	// bodyTime is how long a slow client takes to send its body.
	bodyTime    = 1500 * time.Millisecond
	bodyPieces  = 15
	ordersFast  = 20
	ordersSlow  = 40
	orderAtOnce = 10
	// deniedFree and deniedOneIn are the bound of DENIED: more than 5 + one in 500.
	deniedFree  = 5
	deniedOneIn = 500
)

// slowBody plays clients that take 1.5 s to send the 3 kB of an order.
func slowBody(dir, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return unknown
	}
	f, err := newFleet(dir, "siop", "archeb", "siop", "archeb")
	if err != nil {
		rec.tell("%v", err)
		return unknown
	}
	defer f.close()
	f.configure([]routeSpec{
		{"r-browse", "siop.example", "/catalogue/", "idempotent", "siop", 1200, 600},
		{"r-order", "archeb.example", "/orders/", "non_idempotent", "archeb", orderTimeoutMs, 800},
	})
	if err := f.startAll(); err != nil {
		rec.tell("%v", err)
		return unknown
	}
	var orders []*sent
	for i := range ordersFast + ordersSlow {
		body := make([]byte, orderBytes)
		for j := range body {
			body[j] = byte('a' + (i+j)%26)
		}
		orders = append(orders, &sent{id: fmt.Sprintf("9c41d07be2a3%04x", i), method: "POST", host: "archeb.example", target: fmt.Sprintf("/orders/%d", i),
			kind: "non_idempotent", body: body, chunked: i%2 == 1, deadlineMs: orderDeadlineMs, work: 100})
	}
	var wg sync.WaitGroup
	places := make(chan struct{}, orderAtOnce)
	for i, s := range orders {
		wg.Add(1)
		places <- struct{}{}
		go func() {
			defer func() { <-places; wg.Done() }()
			slow := isTrouble() && i >= ordersFast
			s.sendOrder(f.outbound(f.machines[i%len(f.machines)]), slow)
			rec.say("sent  %s %s %s, body %d bytes, chunked %v, slow %v, deadline %d ms", s.id, s.method, s.target, len(s.body), s.chunked, slow, s.deadlineMs)
			rec.answer(s)
			rec.runs(f.ledger, s)
		}()
	}
	wg.Wait()
	statuses, denied := map[int]int{}, 0
	for _, s := range orders {
		statuses[s.status]++
		if s.err == nil && s.status >= 300 && s.status < 500 && s.signature == "" && s.status != 408 && s.status != 421 && s.status != 429 {
			denied++
		}
	}
	rec.tell("answers by status (0: none): %v; %d of %d orders ended with a 3xx or 4xx that no worker gave", statuses, denied, len(orders))
	for _, m := range f.machines {
		if m.ended() {
			rec.tell("node %s has ended by itself", m.ip)
			return unknown
		}
	}
	if denied*deniedOneIn > deniedFree*deniedOneIn+len(orders) {
		rec.tell("DENIED is broken: over %d + one in %d", deniedFree, deniedOneIn)
		return broken
	}
	if !isTrouble() && statuses[200] != len(orders) {
		rec.tell("not all orders were served without the disruption")
		return unknown
	}
	rec.tell("DENIED holds")
	return held
}

// sendOrder sends the request on a connection of its own, with its body at once or in pieces
// over bodyTime, and reads the answer meanwhile.
func (s *sent) sendOrder(address string, slow bool) {
	began := time.Now()
	defer func() { s.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		s.err = err
		return
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(time.Duration(s.deadlineMs)*time.Millisecond + time.Second))
	if _, s.err = io.WriteString(c, s.head()); s.err != nil {
		return
	}
	go func() {
		wire := s.wire()
		if !slow {
			_, _ = io.WriteString(c, wire)
			return
		}
		step := (len(wire) + bodyPieces - 1) / bodyPieces
		for i := 0; i < len(wire); i += step {
			time.Sleep(bodyTime / bodyPieces)
			if _, err := io.WriteString(c, wire[i:min(i+step, len(wire))]); err != nil {
				return
			}
		}
	}()
	s.read(bufio.NewReader(c))
}
