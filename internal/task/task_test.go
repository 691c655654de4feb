package task

import (
	"errors"
	"strings"
	"testing"
)

func TestPanicErrorIsTruncated(t *testing.T) {
	deferredRan := false
	err := Do(func() {
		defer func() { deferredRan = true }()
		panic("the cause " + strings.Repeat("x", 2*maxValueBytes))
	})
	var p *PanicError
	if !errors.As(err, &p) || !strings.HasPrefix(p.Value, "the cause") || !strings.Contains(p.Stack, "task_test.go") {
		t.Fatalf("error %v", err)
	}
	if len(p.Value) > maxValueBytes || len(p.Stack) > maxStackBytes {
		t.Errorf("%d and %d bytes", len(p.Value), len(p.Stack))
	}
	if !deferredRan {
		t.Error("the deferred function has not run")
	}
}

func TestDoWithoutPanic(t *testing.T) {
	if err := Do(func() {}); err != nil {
		t.Error(err)
	}
}

func TestGoReportsPanic(t *testing.T) {
	failed := make(chan error, 1)
	Go(func() { panic("the cause") }, func(err error) { failed <- err })
	if err := <-failed; !strings.Contains(err.Error(), "the cause") {
		t.Errorf("error %v", err)
	}
}
