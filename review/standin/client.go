package standin

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Request is one client attempt.
type Request struct {
	Address, Method, Host, Path, ID string
	DeadlineMs                      int
	Body                            []byte
}

// Answer is what a client got.
type Answer struct {
	Status        int
	Signature, ID string
	Body          []byte
	Err           error
	Took          time.Duration
	// Close reports that the node ends the connection after this answer.
	Close bool
}

// String returns the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no whole answer after %d ms: %v", a.Took.Milliseconds(), a.Err)
	}
	return fmt.Sprintf("%d after %d ms, signature %q, %d bytes", a.Status, a.Took.Milliseconds(), a.Signature, len(a.Body))
}

// NewID returns a request id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request on a connection of its own and reads the answer.
func Send(r Request) Answer {
	began := time.Now()
	a := send(r)
	a.Took = time.Since(began)
	return a
}

func send(r Request) Answer {
	c, err := net.DialTimeout("tcp", r.Address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return Exchange(c, bufio.NewReader(c), r)
}

// Pool is a set of clients that keep their connections to one node open for many requests.
type Pool struct {
	mu   sync.Mutex
	idle []*poolConn
}

type poolConn struct {
	net.Conn
	br *bufio.Reader
}

// Send sends a request on the connection that was idle for the longest time, or on a new one,
// and reads the answer.
func (p *Pool) Send(r Request) Answer {
	began := time.Now()
	a := p.send(r)
	a.Took = time.Since(began)
	return a
}

func (p *Pool) send(r Request) Answer {
	p.mu.Lock()
	var c *poolConn
	if len(p.idle) > 0 {
		c, p.idle = p.idle[0], p.idle[1:]
	}
	p.mu.Unlock()
	if c == nil {
		conn, err := net.DialTimeout("tcp", r.Address, time.Second)
		if err != nil {
			return Answer{Err: err}
		}
		c = &poolConn{Conn: conn, br: bufio.NewReader(conn)}
	}
	a := Exchange(c, c.br, r)
	if a.Err != nil || a.Close {
		c.Close()
		return a
	}
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	return a
}

// Exchange sends a request on an open connection and reads the answer.
func Exchange(c net.Conn, br *bufio.Reader, r Request) Answer {
	_ = c.SetDeadline(time.Now().Add(time.Duration(r.DeadlineMs) * time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.Method, r.Path, r.Host, r.ID, r.DeadlineMs)
	if len(r.Body) > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := c.Write(append([]byte(head+"\r\n"), r.Body...)); err != nil {
		return Answer{Err: err}
	}
	return readAnswer(br, r.Method)
}

// readAnswer reads the answer to a request.
func readAnswer(br *bufio.Reader, method string) Answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{
		Status: resp.StatusCode, Signature: resp.Header.Get("X-Response-Signature"), ID: resp.Header.Get("X-Request-Id"),
		Body: body, Err: err, Close: resp.Close,
	}
}

// SendChunks sends a request on a connection of its own whose body of n bytes leaves in chunks
// over the given time, and reads the answer.
func SendChunks(r Request, n int, over time.Duration) Answer {
	began := time.Now()
	a := sendChunks(r, n, over)
	a.Took = time.Since(began)
	return a
}

func sendChunks(r Request, n int, over time.Duration) Answer {
	c, err := net.DialTimeout("tcp", r.Address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	began := time.Now()
	_ = c.SetDeadline(began.Add(time.Duration(r.DeadlineMs) * time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Method, r.Path, r.Host, r.ID, r.DeadlineMs)
	if _, err := io.WriteString(c, head); err != nil {
		return Answer{Err: err}
	}
	const piece = 256 << 10
	chunk := make([]byte, 0, piece+16)
	chunk = fmt.Appendf(chunk, "%x\r\n", piece)
	chunk = append(chunk, make([]byte, piece)...)
	chunk = append(chunk, "\r\n"...)
	for sent := 0; sent < n; sent += piece {
		time.Sleep(time.Until(began.Add(over * time.Duration(sent) / time.Duration(n))))
		if _, err := c.Write(chunk); err != nil {
			return Answer{Err: err}
		}
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		return Answer{Err: err}
	}
	return readAnswer(bufio.NewReader(c), r.Method)
}
