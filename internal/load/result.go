package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gypsumstand/internal/model"
)

// Result is what a run measured.
type Result struct {
	Started time.Time `json:"started"`
	// Seconds is the time from the start to the last answer.
	Seconds float64 `json:"seconds"`
	// EndedEarly says that the run was stopped, Truncated that MaxRequests was
	// reached before the plan's duration.
	EndedEarly bool `json:"ended_early"`
	Truncated  bool `json:"truncated"`
	// Streams are in the order of the plan; Classes sum them up by class.
	Streams []Summary `json:"streams"`
	Classes []Summary `json:"classes"`
	Total   Summary   `json:"total"`
	// Lateness is how late after their intended time requests were sent: the
	// generator's own error, which is part of every latency.
	Lateness Quantiles    `json:"lateness"`
	Steps    []StepResult `json:"steps"`
	// Oracle is nil when runs were not counted.
	Oracle *OracleResult `json:"oracle"`
}

// Summary holds the measurements of one stream or a sum of them.
type Summary struct {
	Class  model.ClassName  `json:"class"`
	Tenant model.TenantName `json:"tenant"`
	Counts Counts           `json:"counts"`
	// Latency is that of right answers, from the intended time.
	Latency Quantiles `json:"latency"`
	// All is that of every request, up to whatever its end was.
	All Quantiles `json:"all"`
	// FromSend is Latency without the generator's lateness. It hides stalls
	// (coordinated omission): use it only to compare runs on a busy machine whose
	// Lateness shows no stall.
	FromSend Quantiles `json:"from_send"`
}

// GuaranteesHeld tells whether no answer was wrong or cut and, where runs were
// counted, none contradicted what its caller was told.
func (r *Result) GuaranteesHeld() bool {
	c := r.Total.Counts
	return c.Wrong+c.Truncated+c.CopiesCorrupted == 0 && (r.Oracle == nil || r.Oracle.Consistent())
}

// StepsSucceeded tells whether every step of the plan was carried out.
func (r *Result) StepsSucceeded() bool {
	for _, s := range r.Steps {
		if s.Error != "" {
			return false
		}
	}
	return true
}

// result puts the run's measurements together.
func (g *generator) result(steps []StepResult) *Result {
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
		r.Streams = append(r.Streams, rec.measured(s.Class, s.Tenant))
		if byClass[s.Class] == nil {
			byClass[s.Class] = newRecorder()
			order = append(order, s.Class)
		}
		byClass[s.Class].merge(rec)
		total.merge(rec)
	}
	for _, class := range order {
		r.Classes = append(r.Classes, byClass[class].measured(class, ""))
	}
	r.Total = total.measured("total", "")
	return r
}

func (r *recorder) measured(class model.ClassName, tenant model.TenantName) Summary {
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
		msText(m.Latency.P50Us), msText(m.Latency.P99Us), msText(m.Latency.P999Us), percent(c.Worth, c.WorthSent))
}

// writeNotes writes what the table's rows don't hold.
func (r *Result) writeNotes(out io.Writer) error {
	c := r.Total.Counts
	lines := []string{
		fmt.Sprintf("%d requests in %.1f s; sent late by %s ms at p99; %d resends, %d copies (%d spoilt); broken: %d broke off, %d unreachable, %d malformed, %d unsent",
			c.Sent, r.Seconds, msText(r.Lateness.P99Us), c.Resends, c.Copies, c.CopiesCorrupted, c.Broken, c.Unreachable, c.Malformed, c.Unsent),
	}
	if r.Truncated {
		lines = append(lines, "the bound on requests was reached before the planned time")
	}
	if r.EndedEarly {
		lines = append(lines, "the run was stopped before its planned time")
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

func percent(part, whole float64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*part/whole)
}

// msText writes microseconds as milliseconds.
func msText(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }
