// Package task runs functions whose panic is an error of theirs and not the end of the
// process: by itself a panic in any goroutine but a server's handler ends it, and with it
// every request in hand. A fatal error of the runtime, such as a concurrent access to a
// map, can't be caught.
package task

import (
	"fmt"
	"runtime/debug"
)

// Bounds of what a Panicked keeps, in bytes.
const (
	maxValue = 512
	maxStack = 4 << 10
)

// PanicError says that a function panicked.
type PanicError struct {
	// Value is what it panicked with, and Stack where; both are cut at their bounds.
	Value, Stack string
}

// Error implements error.
func (p *PanicError) Error() string { return "panic: " + p.Value + "\n" + p.Stack }

// Do runs f; the error is a *Panicked, or nil when f did not panic. The functions that f
// deferred have run then.
func Do(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: cut(fmt.Sprint(v), maxValue), Stack: cut(string(debug.Stack()), maxStack)}
		}
	}()
	f()
	return nil
}

// Go runs f in a goroutine; failed is told a panic of it.
func Go(f func(), failed func(error)) {
	go func() {
		if err := Do(f); err != nil {
			failed(err)
		}
	}()
}

// cut returns the first most bytes of s.
func cut(s string, most int) string { return s[:min(len(s), most)] }
