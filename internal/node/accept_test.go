package node

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
)

// errNoMore is the end of a failingListener.
var errNoMore = errors.New("no more connections")

// failingListener fails with errno at the first Accept, and for good at the second.
type failingListener struct {
	errno  syscall.Errno
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed {
		return nil, errNoMore
	}
	l.failed = true
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
}

func (l *failingListener) Close() error   { return nil }
func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// goesOn tells whether a server tries again after the first error of l.
func goesOn(l net.Listener) bool {
	s := &http.Server{ErrorLog: log.New(io.Discard, "", 0)}
	return errors.Is(s.Serve(l), errNoMore)
}

// A server ended, and its node with it, by an error of one connection: accept(2) of Linux
// passes those on.
func TestAnErrorOfOneConnectionEndsNoPort(t *testing.T) {
	for _, errno := range passing {
		if goesOn(&failingListener{errno: errno}) {
			t.Errorf("%v: net/http tries again by itself", errno)
		}
		if !goesOn(patientListener{&failingListener{errno: errno}}) {
			t.Errorf("%v ends the port", errno)
		}
	}
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT,
	} {
		if !goesOn(patientListener{&failingListener{errno: errno}}) {
			t.Errorf("%v ends the port", errno)
		}
	}
}

func TestAnErrorOfTheListenerEndsThePort(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT} {
		if goesOn(patientListener{&failingListener{errno: errno}}) {
			t.Errorf("%v is tried again", errno)
		}
	}
}
