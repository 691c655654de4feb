package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// slashRequests are sent by slashClients side by side, one at each of the eight machines,
	// each slashPause after its last one.
	slashRequests = 1600
	slashClients  = 8
	slashPause    = 20 * time.Millisecond
	// slashLost is the share of the answers that two of the four workers lose.
	slashLost = 0.3
)

// playSlash sends orders, which may run once at most, while two of four workers lose some of
// their answers. The names of most orders have an encoded slash. The rule is broken if an
// order runs twice.
func playSlash(ctx context.Context, f *fleet, rec *record, trouble bool) (bool, error) {
	var mu sync.Mutex
	runs := map[string][]string{}
	desk := workerConfig{run: func(w *worker, c *workerConn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		runs[id] = append(runs[id], w.id)
		mu.Unlock()
		rec.linef("worker %s runs %s: %s %s", w.id, id, r.Method, r.RequestURI)
		time.Sleep(20 * time.Millisecond)
		if trouble && (w.id == "i-desk-1" || w.id == "i-desk-2") && rand.Float64() < slashLost {
			rec.linef("the answer of worker %s to %s is lost", w.id, id)
			return false
		}
		return w.respond(c, id, "ordered")
	}}
	for i := range slashClients {
		service, zone := "front", "zone-a"
		if i >= slashClients/2 {
			service, zone = "desk", "zone-b"
		}
		if _, err := f.add(fmt.Sprintf("%s-%d", service, 1+i%(slashClients/2)), zone, service, desk); err != nil {
			return false, err
		}
	}
	f.store.put("op/config", configText(7,
		routeText("r-order", "shop.example", "/orders/", "non_idempotent", "desk", 2500*time.Millisecond, 2),
		routeText("r-draft", "shop.example", "/orders/draft/", "idempotent", "desk", 2*time.Second, 2)))
	if err := f.startAll(ctx); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	for client := range slashClients {
		wg.Go(func() {
			for n := client; n < slashRequests; n += slashClients {
				path := orderPath(n)
				id := fmt.Sprintf("order-%d", n)
				status, err := sendOrder(ctx, f.nodes[client].outbound, id, path)
				rec.linef("sent %s, POST %s: answered %d, %v", id, path, status, err)
				time.Sleep(slashPause)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for n := range slashRequests {
		id := fmt.Sprintf("order-%d", n)
		if got := runs[id]; len(got) > 1 {
			rec.linef("%s, POST %s, RAN TWICE: %s", id, orderPath(n), strings.Join(got, ", "))
			broken = true
		}
	}
	if len(runs) == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return broken, nil
}

// orderPath returns the path of an order; seven of eight names have an encoded slash.
func orderPath(n int) string {
	if n/slashClients%8 != 0 {
		return fmt.Sprintf("/orders/draft%%2F%d", n)
	}
	return fmt.Sprintf("/orders/draft-%d", n)
}

// sendOrder sends one order on a new connection and returns the status of the answer.
func sendOrder(ctx context.Context, address, id, path string) (int, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	body := "one blazer"
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
