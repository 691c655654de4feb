package listen

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// serve starts an echo server that runs until the test ends.
func serve(t *testing.T) *Listener {
	t.Helper()
	l, err := TCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		l.ResetAll()
		<-done
	})
	return l
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes reports whether the other end echoes a byte.
func echoes(c net.Conn) bool {
	if _, err := c.Write([]byte{'x'}); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestRefuseKeepsThePort(t *testing.T) {
	l := serve(t)
	old := dial(t, l)
	if !echoes(old) { // ensures that it is accepted; Refuse resets pending ones
		t.Fatal("no echo before Refuse")
	}
	for range 3 {
		if err := l.Refuse(); err != nil {
			t.Fatal(err)
		}
		for range 50 {
			if c, err := net.Dial("tcp", l.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Fatalf("dial while refusing: %v, %v; want connection refused", c, err)
			}
		}
		if other, err := net.Listen("tcp", l.Addr().String()); err == nil {
			_ = other.Close()
			t.Fatal("another listener could bind the refused port")
		}
		if err := l.Allow(); err != nil {
			t.Fatal(err)
		}
		if !echoes(dial(t, l)) {
			t.Fatal("no echo after Allow")
		}
	}
	if !echoes(old) {
		t.Error("Refuse closed a connection accepted before it")
	}
}

func TestConnectionsOverTheLimitAreCut(t *testing.T) {
	l := serve(t)
	l.SetLimit(2)
	a, b := dial(t, l), dial(t, l)
	if !echoes(a) || !echoes(b) {
		t.Fatal("a connection within the limit was reset")
	}
	// The reset may arrive during the connect.
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		defer c.Close()
		if echoes(c) {
			t.Error("a connection over the limit was served")
		}
	}
	if got := l.Counts(); got.OverLimit != 1 || got.Peak != 2 || got.Accepted != 2 {
		t.Errorf("counts %+v, want 1 over the limit, a peak of 2 and 2 accepted", got)
	}
}

func TestResetAllResetsOpenConnections(t *testing.T) {
	l := serve(t)
	c := dial(t, l)
	if !echoes(c) {
		t.Fatal("no echo")
	}
	l.ResetAll()
	if echoes(c) {
		t.Error("a connection still echoes after ResetAll")
	}
	if got := l.Counts().Open; got != 0 {
		t.Errorf("%d connections open after ResetAll, want 0", got)
	}
}

func TestCloseWhileRefusingEndsAccept(t *testing.T) {
	l, err := TCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Refuse(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept: %v, want net.ErrClosed", err)
	}
}
