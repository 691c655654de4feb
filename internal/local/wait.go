package local

import (
	"context"
	"fmt"
	"time"

	"gypsumstand/internal/model"
)

// pollInterval is the interval at which a condition is checked.
const pollInterval = 10 * time.Millisecond

// Await polls until every running member satisfies condition, or ctx ends.
func (f *Fleet) Await(ctx context.Context, condition func(*Member) bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		pending := f.firstUnsatisfied(condition)
		if pending == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s does not satisfy the condition: %w", pending.ID, ctx.Err())
		}
	}
}

func (f *Fleet) firstUnsatisfied(condition func(*Member) bool) *Member {
	for _, m := range f.Members() {
		if !m.stopped.Load() && !condition(m) {
			return m
		}
	}
	return nil
}

// Ready reports whether the member's node is ready and its instance is live.
func Ready(m *Member) bool {
	board := m.Node.Core().Board
	ready := board.Readiness.Get()
	return ready != nil && ready.Ready && board.Self.Get().Instance.State == model.StateLive
}

// Warm reports whether the member's slow start is complete: its owner admits as many
// concurrent requests as there are slots.
func (f *Fleet) Warm(m *Member) bool {
	return Ready(m) && int(m.Node.Core().Owner.Report(time.Now()).Limit) >= f.cfg.Slots
}

// HasVersion returns a condition that holds once the member uses that bundle version or a
// newer one.
func HasVersion(v model.BundleVersion) func(*Member) bool {
	return func(m *Member) bool {
		held := m.Node.Core().Board.Bundles.Get().Bundle(v.Name)
		return held != nil && held.Version >= v.Version
	}
}

// AwaitFailure waits until some member's node exits without having been stopped and
// returns its error, or that of ctx.
func (f *Fleet) AwaitFailure(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for _, m := range f.Members() {
			select {
			case err := <-m.exited:
				f.markStopped(m)
				m.stop()
				return err
			default:
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
