package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/pause"
)

// Callers on kept connections saw them close without a response although their requests
// ran. If a process is not scheduled for some milliseconds just when a request arrives on
// a connection whose idle time is almost over, two things are due when it resumes: the
// request, which is read, and the end of the connection's timeout. The timeout's timer
// closed the connection without informing the request's handler, which passed the request
// on to a worker. Of 400 requests to a node that was suspended for half a second across
// the end of the timeout, 40, 15 and 0 ran like this in three runs
// (TestPausedNodeAnswersForwardedRequestsAfterIdleTimeout); here each stall causes it.

// Timeouts of these tests' connections, and how long before the end of one the caller
// sends.
const (
	testIdle     = 2 * time.Second
	testHeader   = time.Second
	beforeExpiry = 10 * time.Millisecond
	// testStall is how long the process is not scheduled.
	testStall = 500 * time.Millisecond
)

var testTimeouts = bundle.Callers{
	IdleTimeoutMs:   testIdle.Milliseconds(),
	HeaderTimeoutMs: testHeader.Milliseconds(),
}

// pipes is a listener whose connections are in-memory pipes.
type pipes chan net.Conn

// Accept implements net.Listener.
func (p pipes) Accept() (net.Conn, error) {
	conn, open := <-p
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (p pipes) Close() error {
	close(p)
	return nil
}

// Addr implements net.Listener.
func (p pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// stalledConn is a connection of a process that is not scheduled for a while after its
// next read returned data.
type stalledConn struct {
	net.Conn
	stall atomic.Bool
}

// Read implements net.Conn.
func (s *stalledConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 && s.stall.CompareAndSwap(true, false) {
		// The context never ends.
		_ = pause.For(context.Background(), testStall)
	}
	return n, err
}

// timeoutCaller is a caller on a kept connection to a server with callerTimeouts.
type timeoutCaller struct {
	t      *testing.T
	near   net.Conn
	reader *bufio.Reader
	// far is the connection on the server's side.
	far *stalledConn
	// stallActive stalls the process once it has read a request's header.
	stallActive atomic.Bool
	// handled counts the requests that were passed to the handler.
	handled atomic.Int32
}

// newTimeoutCaller starts a server for one caller; it must be called in a bubble of
// synctest.
func newTimeoutCaller(t *testing.T, timeouts *callerTimeouts) *timeoutCaller {
	near, far := net.Pipe()
	c := &timeoutCaller{t: t, near: near, reader: bufio.NewReader(near), far: &stalledConn{Conn: far}}
	listener := make(pipes, 1)
	listener <- c.far
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { c.handled.Add(1) })}
	server.ConnState = func(conn net.Conn, s http.ConnState) {
		if s == http.StateActive && c.stallActive.CompareAndSwap(true, false) {
			_ = pause.For(context.Background(), testStall) // never ends early
		}
		timeouts.state(conn, s)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(callerListener{listener, timeouts}) }()
	t.Cleanup(func() {
		near.Close()
		server.Close()
		<-ended
		// A stalled read ends before the bubble does.
		c.wait(testStall)
	})
	return c
}

// send sends a part of a request.
func (c *timeoutCaller) send(part string) {
	c.t.Helper()
	if _, err := io.WriteString(c.near, part); err != nil {
		c.t.Fatal(err)
	}
}

// answered waits for a response; it returns false if the connection closes without one.
func (c *timeoutCaller) answered() bool {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// wait lets time pass.
func (c *timeoutCaller) wait(d time.Duration) {
	_ = pause.For(context.Background(), d) // never ends early
}

const fullRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// rest completes a first request and then waits until just before the idle timeout.
func (c *timeoutCaller) rest() {
	c.t.Helper()
	c.send(fullRequest)
	if !c.answered() {
		c.t.Fatal("no response to the first request")
	}
	c.wait(testIdle - beforeExpiry)
}

func TestRequestReadAtEndOfTimeoutIsAnswered(t *testing.T) {
	for name, act := range map[string]func(c *timeoutCaller){
		"idle, not scheduled after the read": func(c *timeoutCaller) {
			c.rest()
			c.far.stall.Store(true)
			c.send(fullRequest)
		},
		"idle, not scheduled after the header": func(c *timeoutCaller) {
			c.rest()
			c.stallActive.Store(true)
			c.send(fullRequest)
		},
		"header, not scheduled after its end": func(c *timeoutCaller) {
			c.send(fullRequest[:4])
			c.wait(testHeader - beforeExpiry)
			c.far.stall.Store(true)
			c.send(fullRequest[4:])
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTimeoutCaller(t, fixedTimeouts(testTimeouts))
				act(c)
				before := c.handled.Load()
				answered := c.answered()
				c.wait(testStall)
				if !answered {
					t.Errorf("no response, and %d more requests were passed on", c.handled.Load()-before)
				}
			})
		})
	}
}

// A request that arrived while the process was not scheduled is in the socket when it
// resumes.
func TestRequestInSocketAtEndOfTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTimeoutCaller(t, fixedTimeouts(testTimeouts))
		c.rest()
		c.wait(beforeExpiry + readGrace/2)
		c.send(fullRequest)
		if !c.answered() {
			t.Error("no response")
		}
	})
}

// A request may arrive in parts and be too long for a single read.
func TestHeaderInPartsAtEndOfTimeoutIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTimeoutCaller(t, fixedTimeouts(testTimeouts))
		c.send(fullRequest[:4])
		c.wait(testHeader + readGrace/2)
		c.send(fullRequest[4:10])
		c.send(fullRequest[10:])
		if !c.answered() {
			t.Error("no response")
		}
	})
}

func TestRaisedTimeoutAppliesToWaitingConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var idle atomic.Int64
		idle.Store(testIdle.Milliseconds())
		timeouts := &callerTimeouts{log: &silent, current: func() bundle.Callers {
			return bundle.Callers{IdleTimeoutMs: idle.Load()}
		}}
		c := newTimeoutCaller(t, timeouts)
		c.rest()
		idle.Store(2 * testIdle.Milliseconds())
		c.wait(testIdle)
		c.send(fullRequest)
		if !c.answered() {
			t.Error("no response")
		}
	})
}

// closedAfter waits for the end of the connection and returns how long that took.
func (c *timeoutCaller) closedAfter() time.Duration {
	began := time.Now()
	_, _ = io.Copy(io.Discard, c.near) // the error of a closed pipe varies
	return time.Since(began)
}

func TestExpiredTimeoutIsLogged(t *testing.T) {
	for name, tt := range map[string]struct {
		begin func(c *timeoutCaller)
		ran   time.Duration
	}{
		"idle":   {(*timeoutCaller).rest, testIdle},
		"header": {func(c *timeoutCaller) { c.send(fullRequest[:4]) }, testHeader},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				log := zerolog.New(&out)
				timeouts := fixedTimeouts(testTimeouts)
				timeouts.log = &log
				c := newTimeoutCaller(t, timeouts)
				tt.begin(c)
				c.closedAfter()
				want := fmt.Sprintf(`"bound":%q,"bound_ms":%d,"ran_ms":%d`, name, tt.ran.Milliseconds(), (tt.ran + readGrace).Milliseconds())
				if line := out.String(); !strings.Contains(line, want) {
					t.Errorf("logged %q, want %s", line, want)
				}
			})
		})
	}
}

// A caller that sends a header byte by byte holds its connection no longer than one that
// sends nothing, except for one grace period.
func TestSlowHeaderTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTimeoutCaller(t, fixedTimeouts(testTimeouts))
		began := time.Now()
		for {
			if _, err := io.WriteString(c.near, "G"); err != nil {
				break
			}
			c.wait(readGrace / 2)
		}
		if took := time.Since(began); took > testHeader+2*readGrace {
			t.Errorf("ended after %v", took)
		}
	})
}
