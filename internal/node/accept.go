package node

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// passing lists the errors of accept(2) that say nothing of the listener: those of the
// connection that was to be had, which Linux passes on, a firewall's, and a lack of memory. net/http
// tries again by itself after EMFILE, ENFILE, EINTR, EAGAIN and ETIMEDOUT only: package
// net means to do so after ECONNRESET and ECONNABORTED, but does not look into the error
// that accept wraps them in.
var passing = []syscall.Errno{
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
	syscall.ECONNRESET, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
}

// passingError is an error after which net/http tries again: it logs it and waits for 5 ms
// first, and for up to a second when it repeats.
type passingError struct{ error }

var _ net.Error = passingError{}

// Timeout implements net.Error.
func (passingError) Timeout() bool { return false }

// Temporary implements net.Error.
func (passingError) Temporary() bool { return true }

// Unwrap returns the listener's error.
func (e passingError) Unwrap() error { return e.error }

// patientListener is a listener whose passing errors end no server.
type patientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	var errno syscall.Errno
	if errors.As(err, &errno) && slices.Contains(passing, errno) {
		return nil, passingError{err}
	}
	return conn, err
}
