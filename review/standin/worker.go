package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Worker is an application worker. It runs Slots requests at a time and queues a few more.
type Worker struct {
	ID, Service, Zone, Address string
	Slots                      int
	Record                     *Record
	// Work is how long a request takes; WorkOf, if not nil, tells it by method.
	Work   time.Duration
	WorkOf func(method string) time.Duration
	// Shed, if not nil, decides whether the worker rejects a request (503, X-Not-Executed).
	Shed func() bool
	// ExtraLate, if not nil, decides whether the answer to a request with a method gets a second
	// copy, which arrives late: where the answer to the next request on the connection is
	// expected.
	ExtraLate func(method string, status int) bool
	// Slow is how many times as long work takes at the moment; nil means once.
	Slow func() float64

	mu               sync.Mutex
	running, waiting int
	slots            chan struct{}
	seq              uint64
	runs             map[string]int
	listener         net.Listener
	conns            map[net.Conn]struct{}
	ended            bool
	routes           map[string]string
}

// Start listens at the worker's address.
func (w *Worker) Start() error {
	l, err := net.Listen("tcp", w.Address)
	if err != nil {
		return err
	}
	w.Address, w.listener = l.Addr().String(), l
	w.slots = make(chan struct{}, w.Slots)
	w.runs = map[string]int{}
	w.routes = map[string]string{}
	w.conns = map[net.Conn]struct{}{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = struct{}{}
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return nil
}

// Crash ends the worker as if its process had been killed: its port and its connections
// close, and it says nothing more.
func (w *Worker) Crash() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// Ended reports whether the worker has crashed.
func (w *Worker) Ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// Paths returns the host and path of each request that ran.
func (w *Worker) Paths() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]string{}
	for id, p := range w.routes {
		out[id] = p
	}
	return out
}

// Beat writes the worker's entry to the store every 1.5 s until stop is closed.
func (w *Worker) Beat(s *Store, stop <-chan struct{}) {
	for !w.Ended() {
		w.Write(s, "ready")
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// Write writes the worker's entry with the given state.
func (w *Worker) Write(s *Store, state string) {
	w.mu.Lock()
	w.seq++
	seq := w.seq
	w.mu.Unlock()
	s.Put("servers/"+w.ID, map[string]any{
		"address": w.Address,
		"info":    map[string]any{"service": w.Service, "version": "v1", "zone": w.Zone, "slots": w.Slots},
		"status":  map[string]any{"state": state, "seq": seq, "cold_left_ms": 0},
	})
}

// Runs returns how often each request ran.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for id, n := range w.runs {
		out[id] = n
	}
	return out
}

func (w *Worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,%.0f", w.running, w.waiting, w.Slots, 100*w.slow())
}

func (w *Worker) work(method string) time.Duration {
	if w.WorkOf == nil {
		return w.Work
	}
	return w.WorkOf(method)
}

func (w *Worker) slow() float64 {
	if w.Slow == nil {
		return 1
	}
	return w.Slow()
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	// extra is a copy of an answer that is still to be sent, for the request extraOf.
	extra   []byte
	extraOf string
	// last is the request before on this connection, method that of the present one.
	last, method string
}

func (w *Worker) serve(conn net.Conn) {
	c := &workerConn{Conn: conn}
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !w.handle(c, r) {
			return
		}
	}
}

// handle serves one request; it returns false if the connection can't be used any more.
func (w *Worker) handle(c *workerConn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/health" {
		return w.answer(c, 200, "", "X-Instance-Id: "+w.ID+"\r\n", nil)
	}
	if c.last == id {
		w.Record.Line("worker %s: %s comes again on the same connection", w.ID, id)
	}
	c.last, c.method = id, r.Method
	if len(c.extra) > 0 {
		w.Record.Line("worker %s: a second copy of the answer to %s comes where that to %s is expected", w.ID, c.extraOf, id)
		_, _ = c.Write(c.extra)
		c.extra = nil
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		w.Record.Line("worker %s: 421 for %s, which expects %s", w.ID, id, expected)
		_, _ = io.Copy(io.Discard, r.Body)
		return w.answer(c, 421, id, "X-Instance-Id: "+w.ID+"\r\nX-Not-Executed: 1\r\n", nil)
	}
	if !w.readBody(id, r) {
		return false
	}
	if w.Shed != nil && w.Shed() {
		w.Record.Line("worker %s: rejects %s (503, X-Not-Executed)", w.ID, id)
		return w.answer(c, 503, id, "X-Not-Executed: 1\r\n", nil)
	}
	return w.run(c, id, r)
}

// readBody reads the body; it returns false if that is not whole.
func (w *Worker) readBody(id string, r *http.Request) bool {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.Record.Line("worker %s: the body of %s ends after %d bytes: %v", w.ID, id, n, err)
	}
	return err == nil
}

func (w *Worker) run(c *workerConn, id string, r *http.Request) bool {
	w.mu.Lock()
	w.waiting++
	w.mu.Unlock()
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	select {
	case w.slots <- struct{}{}:
	case <-time.After(time.Duration(left) * time.Millisecond):
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
		return w.answer(c, 503, id, "X-Not-Executed: 1\r\n", nil)
	}
	w.mu.Lock()
	w.waiting--
	w.running++
	w.runs[id]++
	w.routes[id] = r.Host + r.URL.Path
	w.mu.Unlock()
	w.Record.Line("worker %s: runs %s (%s %s, caller %s)", w.ID, id, r.Method, r.RequestURI, r.Header.Get("X-Caller-Service"))
	time.Sleep(time.Duration(float64(w.work(r.Method)) * w.slow()))
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	<-w.slots
	return w.answer(c, 200, id, "X-Response-Signature: "+w.ID+"."+id+"\r\n", []byte("done by "+w.ID+" for "+id))
}

func (w *Worker) answer(c *workerConn, status int, id, headers string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	head += headers + "X-Server-Load: " + w.load() + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	answer := append([]byte(head), body...)
	if id != "" && w.ExtraLate != nil && w.ExtraLate(c.method, status) {
		c.extra, c.extraOf = answer, id
	}
	_, err := c.Write(answer)
	return err == nil
}
