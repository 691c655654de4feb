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

// errNoMore ends a failingListener.
var errNoMore = errors.New("no more connections")

// failingListener fails with errno at the first Accept and with errNoMore at all later
// ones.
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

// retries reports whether a server continues after the first error of l.
func retries(l net.Listener) bool {
	s := &http.Server{ErrorLog: log.New(io.Discard, "", 0)}
	return errors.Is(s.Serve(l), errNoMore)
}

// An error of a single connection ended the server, and with it the node: accept(2) of
// Linux passes such errors on.
func TestConnectionErrorDoesNotEndServer(t *testing.T) {
	for _, errno := range transientErrors {
		if retries(&failingListener{errno: errno}) {
			t.Errorf("%v: net/http retries by itself", errno)
		}
		if !retries(retryingListener{&failingListener{errno: errno}}) {
			t.Errorf("%v ends the server", errno)
		}
	}
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT,
	} {
		if !retries(retryingListener{&failingListener{errno: errno}}) {
			t.Errorf("%v ends the server", errno)
		}
	}
}

func TestListenerErrorEndsServer(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT} {
		if retries(retryingListener{&failingListener{errno: errno}}) {
			t.Errorf("%v is retried", errno)
		}
	}
}
