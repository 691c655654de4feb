package node

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// transientErrors lists the errors of accept(2) that do not concern the listener: errors
// of the connection to be accepted, which Linux passes on, a firewall's refusal, and a
// lack of memory. net/http retries by itself only after EMFILE, ENFILE, EINTR, EAGAIN and
// ETIMEDOUT: package net intends to do so after ECONNRESET and ECONNABORTED, but does not
// look into the error that accept wraps them in.
var transientErrors = []syscall.Errno{
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
	syscall.ECONNRESET, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
}

// transientError is an error after which net/http logs the error and retries, after 5 ms
// at first and up to a second if it repeats.
type transientError struct{ error }

var _ net.Error = transientError{}

// Timeout implements net.Error.
func (transientError) Timeout() bool { return false }

// Temporary implements net.Error.
func (transientError) Temporary() bool { return true }

// Unwrap returns the listener's error.
func (e transientError) Unwrap() error { return e.error }

// retryingListener is a listener whose transient errors do not end the server.
type retryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l retryingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	var errno syscall.Errno
	if errors.As(err, &errno) && slices.Contains(transientErrors, errno) {
		return nil, transientError{err}
	}
	return conn, err
}
