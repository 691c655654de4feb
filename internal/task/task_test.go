package task

import (
	"errors"
	"strings"
	"testing"
)

func TestAPanicIsABoundedErrorWithItsStack(t *testing.T) {
	cleaned := false
	err := Do(func() {
		defer func() { cleaned = true }()
		panic("the cause " + strings.Repeat("x", 2*maxValue))
	})
	var p *PanicError
	if !errors.As(err, &p) || !strings.HasPrefix(p.Value, "the cause") || !strings.Contains(p.Stack, "task_test.go") {
		t.Fatalf("error %v", err)
	}
	if len(p.Value) > maxValue || len(p.Stack) > maxStack {
		t.Errorf("%d and %d bytes", len(p.Value), len(p.Stack))
	}
	if !cleaned {
		t.Error("what was deferred has not run")
	}
}

func TestWhatDoesNotPanicIsNoError(t *testing.T) {
	if err := Do(func() {}); err != nil {
		t.Error(err)
	}
}

func TestAGoroutinesPanicIsTold(t *testing.T) {
	failed := make(chan error, 1)
	Go(func() { panic("the cause") }, func(err error) { failed <- err })
	if err := <-failed; !strings.Contains(err.Error(), "the cause") {
		t.Errorf("error %v", err)
	}
}
