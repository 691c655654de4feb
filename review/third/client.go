package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// sent is one client attempt and what the client saw of its answer.
type sent struct {
	id, method, host, target, kind string
	body                           []byte
	chunked, expect                bool
	do                             string
	size, work                     int
	deadlineMs                     int
	extra                          string

	// err is why there was no complete answer.
	err       error
	status    int
	signature string
	answerID  string
	answer    []byte
	took      time.Duration
	conn      string
	closes    bool
	// retryAfter is the answer's Retry-After, in seconds.
	retryAfter float64
}

// head returns the request's head.
func (s *sent) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Do: %s\r\nX-Size: %d\r\nX-Work: %d\r\n%s", s.method, s.target, s.host, s.id, s.deadlineMs, s.do, s.size, s.work, s.extra)
	switch {
	case s.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(s.body) > 0 || s.method == "POST":
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(s.body))
	}
	if s.expect {
		b.WriteString("Expect: 100-continue\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

func (s *sent) wire() string {
	if s.chunked {
		return chunks(s.body)
	}
	return string(s.body)
}

// exchange sends the request on a connection and reads the answer.
func (s *sent) exchange(c net.Conn, r *bufio.Reader) {
	began := time.Now()
	defer func() { s.took = time.Since(began) }()
	_ = c.SetDeadline(began.Add(time.Duration(s.deadlineMs)*time.Millisecond + 3*time.Second))
	if _, s.err = io.WriteString(c, s.head()); s.err != nil {
		return
	}
	wrote := make(chan error, 1)
	go func() {
		if s.expect {
			time.Sleep(30 * time.Millisecond)
		}
		_, err := io.WriteString(c, s.wire())
		wrote <- err
	}()
	s.read(r)
	if s.err != nil {
		c.Close()
	}
	if err := <-wrote; err != nil && s.err == nil {
		s.closes = true
	}
}

// read reads one answer.
func (s *sent) read(r *bufio.Reader) {
	resp, err := http.ReadResponse(r, &http.Request{Method: s.method})
	for err == nil && resp.StatusCode == 100 {
		resp, err = http.ReadResponse(r, &http.Request{Method: s.method})
	}
	if err != nil {
		s.err = fmt.Errorf("no answer: %w", err)
		return
	}
	s.status, s.signature, s.answerID, s.closes = resp.StatusCode, resp.Header.Get("X-Response-Signature"), resp.Header.Get("X-Request-Id"), resp.Close
	s.retryAfter, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	s.answer, err = io.ReadAll(resp.Body)
	if err != nil {
		s.err = fmt.Errorf("answer cut off: %w", err)
	}
}

// sendOrder sends the request on a connection of its own and reads the answer.
func (s *sent) sendOrder(address string) {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		s.err = err
		return
	}
	defer c.Close()
	s.exchange(c, bufio.NewReader(c))
	s.took = time.Since(began)
}
