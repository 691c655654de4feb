package demo

import (
	"fmt"
	"text/tabwriter"

	"gypsumstand/internal/load"
)

// report prints the results and returns ErrViolation if a guarantee was violated.
func (r *run) report(result, drained *load.Result) error {
	r.printf("\n")
	r.printTable(result)
	r.checkMeasuring(result)
	r.printf("\n%s\n", result.Oracle)
	r.checkGuarantees(result, drained)
	if len(r.violations) == 0 {
		r.printf("\nall guarantees checked by this run were kept\n")
		return nil
	}
	for _, v := range r.violations {
		r.printf("VIOLATION: %s\n", v)
	}
	return fmt.Errorf("%w: %d violations", ErrViolation, len(r.violations))
}

// printTable prints counts and latencies by class.
func (r *run) printTable(result *load.Result) {
	w := tabwriter.NewWriter(r.opts.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\trate/s\tin deadline\tnot-run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\tadded p50 ms\tadded p99 ms\t")
	for _, m := range append(result.Classes, result.Total) {
		name := string(m.Class)
		if name == "" {
			name = "total"
		}
		c := m.Counts
		fmt.Fprintf(w, "%s\t%.0f\t%.2f%%\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t\n", name,
			float64(c.Sent)/result.Seconds, 100*ratio(c.InDeadline, c.Sent), c.NotRun, c.Unknown,
			ms(m.Latency.P50Us), ms(m.Latency.P99Us), ms(m.Latency.P999Us),
			r.added.quantile(m.Class, 50), r.added.quantile(m.Class, 99))
	}
	w.Flush()
}

// checkMeasuring prints the number of measuring messages and checks their budget.
func (r *run) checkMeasuring(result *load.Result) {
	total, peak := uint64(0), uint64(0)
	for _, m := range r.fleet.Members() {
		c := m.Worker.Counters()
		probes := m.Node.Core().OwnerLimiter.Counts().ProbesAnswered
		total += c.Measuring + probes
		peak = max(peak, c.MeasuringPeak)
	}
	budget := r.dep.Bundle.Measuring.PerUpstreamPerSecond
	r.printf("\nmeasuring: %d messages, %.4f per answered call; at most %d polls reached one worker in a second (budget %.1f)\n",
		total, ratio(int64(total), result.Total.Counts.Answered), peak, budget)
	if float64(peak) > budget {
		r.violate("%d measuring messages reached one worker in a second, over the budget of %.1f", peak, budget)
	}
}

// checkGuarantees checks the results against the guarantees.
func (r *run) checkGuarantees(result, drained *load.Result) {
	t := result.Total.Counts
	if t.Wrong+t.Truncated+t.Malformed+t.Broken > 0 {
		r.violate("%d wrong, %d truncated, %d malformed, %d broken responses", t.Wrong, t.Truncated, t.Malformed, t.Broken)
	}
	if o := result.Oracle; !o.Consistent() {
		r.violate("%s", o)
	}
	d := drained.Total.Counts
	if d.Wrong+d.Truncated+d.Malformed+d.Broken+d.Unreachable > 0 {
		r.violate("callers of the drained node: %d wrong, %d truncated, %d malformed, %d broken, %d unreachable",
			d.Wrong, d.Truncated, d.Malformed, d.Broken, d.Unreachable)
	}
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func ms(us int64) float64 { return float64(us) / 1000 }
