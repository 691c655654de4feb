package delay_test

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gypsumstand/internal/fake/delay"
)

// echoServer starts a server that sends back what it receives, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().String()
}

func TestDelayAppliesInBothDirections(t *testing.T) {
	const oneWay = 20 * time.Millisecond
	d := delay.Dialer{OneWay: func(string) time.Duration { return oneWay }}
	conn, err := d.DialContext(context.Background(), "tcp", echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	began := time.Now()
	if _, err := io.WriteString(conn, "there and back"); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len("there and back"))
	if _, err := io.ReadFull(conn, got); err != nil {
		t.Fatal(err)
	}
	// Only a lower bound holds on a busy machine.
	if took := time.Since(began); took < 2*oneWay || string(got) != "there and back" {
		t.Errorf("round trip took %v and returned %q", took, got)
	}
}

func TestReadDeadlineInterruptsWaitingRead(t *testing.T) {
	d := delay.Dialer{OneWay: func(string) time.Duration { return time.Millisecond }}
	conn, err := d.DialContext(context.Background(), "tcp", echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}()
	if err := conn.SetReadDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != os.ErrDeadlineExceeded {
		t.Errorf("Read: %v, want os.ErrDeadlineExceeded", err)
	}
}
