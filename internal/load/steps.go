package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"gypsumstand/internal/pause"
)

// stepTimeout bounds a step, maxStepReply what is kept of its answer.
const (
	stepTimeout  = 10 * time.Second
	maxStepReply = 500
)

// StepResult says what came of a step.
type StepResult struct {
	AtMs   int64  `json:"at_ms"`
	Method string `json:"method"`
	URL    string `json:"url"`
	// Error is empty when the step was carried out.
	Error string `json:"error"`
}

// String returns a line for people.
func (s StepResult) String() string {
	out := fmt.Sprintf("step at %d ms: %s %s", s.AtMs, s.Method, s.URL)
	if s.Error != "" {
		out += ": FAILED: " + s.Error
	}
	return out
}

// runSteps carries the plan's steps out at their times, one after the other.
func (g *generator) runSteps(ctx context.Context) []StepResult {
	steps := append([]Step(nil), g.plan.Steps...)
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].AtMs < steps[j].AtMs })
	out := make([]StepResult, 0, len(steps))
	for _, s := range steps {
		pause.For(ctx, time.Until(g.started.Add(milliseconds(s.AtMs))))
		result := StepResult{AtMs: s.AtMs, Method: s.Method, URL: s.URL}
		if err := g.step(ctx, s); err != nil {
			result.Error = err.Error()
		}
		out = append(out, result)
	}
	return out
}

func (g *generator) step(ctx context.Context, s Step) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, s.Method, s.URL, strings.NewReader(s.Body))
	if err != nil {
		return err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxStepReply))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}
