package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"gypsumstand/internal/upstream"
	"gypsumstand/platform/names"
	"gypsumstand/platform/standin"
)

// client sends requests to the node of its machine over persistent connections.
type client struct {
	fleet     *fleet
	machine   *machine
	name      string
	rng       *rand.Rand
	http      *http.Client
	sentCount int
}

func newClient(f *fleet, i int, seed uint64) *client {
	return &client{
		fleet: f, machine: f.machines[i%len(f.machines)], name: fmt.Sprintf("c%d", i),
		rng:  rand.New(rand.NewPCG(seed, uint64(i)+1)),
		http: newHTTPClient(),
	}
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: upstream.NewTransport(upstream.Options{MaxIdleConns: 1, DialTimeout: time.Second, IdleTimeout: 4 * time.Second})}
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sendNext(ctx)
		sleep(ctx, time.Duration(5+c.rng.IntN(40))*time.Millisecond)
	}
}

// drawRequest draws the class and the service of the next request.
func (c *client) drawRequest() (class, service string) {
	version := c.fleet.newest()
	switch n := c.rng.IntN(20); {
	case n < 7:
		return "order", serviceOrders
	case n < 13:
		return "browse", serviceCatalogue
	case n < 15:
		return classMoved, ""
	case n < 17:
		return classSplit, ""
	case n < 18:
		return generationClass(max(1, version-c.rng.IntN(2*generationVersions))), serviceCatalogue
	}
	return generationClass(version), serviceCatalogue
}

// sendNext sends one request and records its result. Requests in flight are completed
// after the clients stop.
func (c *client) sendNext(ctx context.Context) {
	c.sentCount++
	if c.fleet.hard {
		class, service, uri, body := c.drawHardRequest()
		r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sentCount), class: class, service: service, machine: c.machine.index}
		c.send(ctx, r, uri, body)
		return
	}
	class, service := c.drawRequest()
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.sentCount), class: class, service: service, machine: c.machine.index}
	c.send(ctx, r, fmt.Sprintf("/%s/%d?ms=%d", class, c.sentCount, 2+c.rng.IntN(40)), r.id)
}

// send sends a request with a body and records its result.
func (c *client) send(ctx context.Context, r *request, uri, text string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*routeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.machine.caller+uri, io.NopCloser(strings.NewReader(text)))
	if err != nil {
		c.fleet.ledger.recordViolation("soak", "%v", err)
		return
	}
	req.ContentLength = int64(len(text))
	req.Host = "shop.example"
	req.Header.Set(names.RequestID, r.id)
	req.Header.Set(names.Deadline, fmt.Sprint(2*routeTimeout.Milliseconds()))
	upstream.PreventReplay(req)
	r.body = text
	c.fleet.ledger.recordSend(r)
	resp, err := c.http.Do(req)
	if err != nil {
		c.fleet.ledger.recordResponse(r, nil, nil, nil)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		body = nil
	} else if body == nil {
		body = []byte{}
	}
	if c.fleet.hard {
		text = standin.Digest(text)
	}
	c.fleet.ledger.recordResponse(r, resp, body, func(service string) string {
		return standin.ResponseBody(service, http.MethodPost, uri, text)
	})
}
