package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gypsumstand/internal/model"
)

// Result holds the measurements of a run.
type Result struct {
	Started time.Time `json:"started"`
	// Seconds is the time from the start to the last response.
	Seconds float64 `json:"seconds"`
	// EndedEarly is set when the run was stopped, Truncated when MaxRequests was reached
	// before the planned duration.
	EndedEarly bool `json:"ended_early"`
	Truncated  bool `json:"truncated"`
	// Streams are in the order of the plan; Classes sums them by class.
	Streams []Summary `json:"streams"`
	Classes []Summary `json:"classes"`
	Total   Summary   `json:"total"`
	// Lateness is the delay between the intended and the actual send time: the
	// generator's own error, which is part of every latency.
	Lateness Quantiles    `json:"lateness"`
	Steps    []StepResult `json:"steps"`
	// Oracle is nil when runs were not counted.
	Oracle *OracleResult `json:"oracle"`
}

// Summary holds the measurements of one stream or of a sum of streams.
type Summary struct {
	Class  model.ClassName  `json:"class"`
	Tenant model.TenantName `json:"tenant"`
	Counts Counts           `json:"counts"`
	// Latency covers correct responses and is counted from the intended time.
	Latency Quantiles `json:"latency"`
	// All covers every request, whatever its result.
	All Quantiles `json:"all"`
	// FromSend is Latency without the generator's lateness. It hides stalls (coordinated
	// omission): use it only to compare runs on a busy machine whose Lateness shows no
	// stall.
	FromSend Quantiles `json:"from_send"`
}

// GuaranteesHeld reports whether no response was wrong or truncated and, where runs were
// counted, none contradicted the outcome that its caller received.
func (r *Result) GuaranteesHeld() bool {
	c := r.Total.Counts
	return c.Wrong+c.Truncated+c.CopiesCorrupted == 0 && (r.Oracle == nil || r.Oracle.Consistent())
}

// StepsSucceeded reports whether every step of the plan succeeded.
func (r *Result) StepsSucceeded() bool {
	for _, s := range r.Steps {
		if s.Error != "" {
			return false
		}
	}
	return true
}

// buildResult summarizes the run's measurements.
func (g *generator) buildResult(steps []StepResult) *Result {
	r := &Result{
		Started:   g.started,
		Seconds:   time.Since(g.started).Seconds(),
		Truncated: g.requests.Load() > int64(g.plan.MaxRequests),
		Lateness:  g.lateness.quantiles(),
		Steps:     steps,
	}
	total := newRecorder()
	var order []model.ClassName
	byClass := map[model.ClassName]*recorder{}
	for i, rec := range g.recorders {
		s := &g.plan.Streams[i]
		r.Streams = append(r.Streams, rec.summary(s.Class, s.Tenant))
		if byClass[s.Class] == nil {
			byClass[s.Class] = newRecorder()
			order = append(order, s.Class)
		}
		byClass[s.Class].merge(rec)
		total.merge(rec)
	}
	for _, class := range order {
		r.Classes = append(r.Classes, byClass[class].summary(class, ""))
	}
	r.Total = total.summary("total", "")
	return r
}

func (r *recorder) summary(class model.ClassName, tenant model.TenantName) Summary {
	return Summary{
		Class:    class,
		Tenant:   tenant,
		Counts:   r.counts,
		Latency:  r.answered.quantiles(),
		All:      r.all.quantiles(),
		FromSend: r.fromSend.quantiles(),
	}
}

// WriteTable writes the result as text for people.
func (r *Result) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\ttenant\tsent/s\tin deadline\tnot-run\tunknown\terrors\tbroken\twrong\tcut\tp50 ms\tp99 ms\tp99.9 ms\tworth\t")
	for _, m := range r.Streams {
		writeRow(w, m, r.Seconds)
	}
	if len(r.Streams) > 1 {
		writeRow(w, r.Total, r.Seconds)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return r.writeNotes(out)
}

func writeRow(w io.Writer, m Summary, seconds float64) {
	c := m.Counts
	broken := c.Broken + c.Unreachable + c.Malformed + c.Unsent
	fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n",
		m.Class, m.Tenant, float64(c.Sent)/max(seconds, 1e-9), percent(float64(c.InDeadline), float64(c.Sent)),
		c.NotRun, c.Unknown, c.WorkerErrors, broken, c.Wrong, c.Truncated,
		formatMs(m.Latency.P50Us), formatMs(m.Latency.P99Us), formatMs(m.Latency.P999Us), percent(c.Worth, c.WorthSent))
}

// writeNotes writes the figures that are not in the table's rows.
func (r *Result) writeNotes(out io.Writer) error {
	c := r.Total.Counts
	lines := []string{
		fmt.Sprintf("%d requests in %.1f s; sent late by %s ms at p99; %d resends, %d copies (%d corrupted); broken: %d interrupted, %d unreachable, %d malformed, %d unsent",
			c.Sent, r.Seconds, formatMs(r.Lateness.P99Us), c.Resends, c.Copies, c.CopiesCorrupted, c.Broken, c.Unreachable, c.Malformed, c.Unsent),
	}
	if r.Truncated {
		lines = append(lines, "the limit on requests was reached before the planned duration")
	}
	if r.EndedEarly {
		lines = append(lines, "the run was stopped before its planned duration")
	}
	for _, s := range r.Steps {
		lines = append(lines, s.String())
	}
	if r.Oracle != nil {
		lines = append(lines, r.Oracle.String())
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

func percent(part, total float64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*part/total)
}

// formatMs formats microseconds as milliseconds.
func formatMs(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }
