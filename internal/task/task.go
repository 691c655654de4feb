// Package task runs functions and converts their panics to errors. Otherwise a panic in any
// goroutine but an HTTP handler's kills the process, and with it every request in flight.
// Fatal errors of the runtime, such as a concurrent map access, cannot be recovered.
package task

import (
	"fmt"
	"runtime/debug"
)

// Size limits of the fields of a PanicError, in bytes.
const (
	maxValueBytes = 512
	maxStackBytes = 4 << 10
)

// PanicError is the error of a function that panicked.
type PanicError struct {
	// Value is the panic value and Stack the stack trace, both truncated to their limits.
	Value, Stack string
}

// Error returns the panic value and the stack.
func (p *PanicError) Error() string { return "panic: " + p.Value + "\n" + p.Stack }

// Do runs f. It returns a *PanicError if f panics, and nil otherwise. The functions that f
// deferred have run when Do returns.
func Do(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: truncate(fmt.Sprint(v), maxValueBytes), Stack: truncate(string(debug.Stack()), maxStackBytes)}
		}
	}()
	f()
	return nil
}

// Go runs f in a new goroutine and, if f panics, calls onPanic there with a *PanicError.
func Go(f func(), onPanic func(error)) {
	go func() {
		if err := Do(f); err != nil {
			onPanic(err)
		}
	}()
}

// truncate returns the first limit bytes of s.
func truncate(s string, limit int) string { return s[:min(len(s), limit)] }
