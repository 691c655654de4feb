package pause

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	for _, tt := range []struct {
		name     string
		d, limit time.Duration
		took     time.Duration
		err      error
	}{
		{"time first", time.Minute, time.Hour, time.Minute, nil},
		{"context first", time.Hour, time.Minute, time.Minute, context.DeadlineExceeded},
		{"no time", -time.Second, time.Minute, 0, nil},
		{"no time, ended", 0, 0, 0, context.DeadlineExceeded},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tt.limit)
				defer cancel()
				began := time.Now()
				if err := For(ctx, tt.d); !errors.Is(err, tt.err) {
					t.Errorf("error %v, want %v", err, tt.err)
				}
				if took := time.Since(began); took != tt.took {
					t.Errorf("took %s, want %s", took, tt.took)
				}
			})
		})
	}
}
