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

// stepTimeout limits the duration of a step; maxStepResponseBytes limits how much of its
// response is read.
const (
	stepTimeout          = 10 * time.Second
	maxStepResponseBytes = 500
)

// StepResult is the result of a step.
type StepResult struct {
	AtMs   int64  `json:"at_ms"`
	Method string `json:"method"`
	URL    string `json:"url"`
	// Error is empty when the step succeeded.
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

// runSteps runs the plan's steps sequentially, each at its time.
func (g *generator) runSteps(ctx context.Context) []StepResult {
	steps := append([]Step(nil), g.plan.Steps...)
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].AtMs < steps[j].AtMs })
	out := make([]StepResult, 0, len(steps))
	for _, s := range steps {
		pause.For(ctx, time.Until(g.started.Add(milliseconds(s.AtMs))))
		result := StepResult{AtMs: s.AtMs, Method: s.Method, URL: s.URL}
		if err := g.runStep(ctx, s); err != nil {
			result.Error = err.Error()
		}
		out = append(out, result)
	}
	return out
}

func (g *generator) runStep(ctx context.Context, s Step) error {
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxStepResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}
