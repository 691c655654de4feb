package demo

import (
	"fmt"
	"text/tabwriter"

	"gypsumstand/internal/load"
)

// report prints the tables and returns ErrViolation when a promise was broken.
func (r *run) report(result, drained *load.Result) error {
	r.say("\n")
	r.table(result)
	r.measuring(result)
	r.say("\n%s\n", result.Oracle)
	r.judge(result, drained)
	if len(r.broken) == 0 {
		r.say("\nall promises that this run can show were kept\n")
		return nil
	}
	for _, b := range r.broken {
		r.say("BROKEN: %s\n", b)
	}
	return fmt.Errorf("%w: %d findings", ErrViolation, len(r.broken))
}

func (r *run) table(result *load.Result) {
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

// measuring prints the load that measuring caused and checks the budget.
func (r *run) measuring(result *load.Result) {
	total, peak := uint64(0), uint64(0)
	for _, m := range r.fleet.Members() {
		c := m.Worker.Counters()
		probes := m.Node.Core().OwnerLimiter.Counts().ProbesAnswered
		total += c.Measuring + probes
		peak = max(peak, c.MeasuringPeak)
	}
	budget := r.dep.Bundle.Measuring.PerUpstreamPerSecond
	r.say("\nmeasuring: %d messages, %.4f per answered call; at most %d polls reached one worker in a second (budget %.1f)\n",
		total, ratio(int64(total), result.Total.Counts.Answered), peak, budget)
	if float64(peak) > budget {
		r.breach("%d measuring messages reached one worker in a second, the budget is %.1f", peak, budget)
	}
}

// judge holds the results against the promises.
func (r *run) judge(result, drained *load.Result) {
	t := result.Total.Counts
	if t.Wrong+t.Truncated+t.Malformed+t.Broken > 0 {
		r.breach("%d wrong, %d cut, %d malformed, %d broken answers", t.Wrong, t.Truncated, t.Malformed, t.Broken)
	}
	if o := result.Oracle; !o.Consistent() {
		r.breach("%s", o)
	}
	d := drained.Total.Counts
	if d.Wrong+d.Truncated+d.Malformed+d.Broken+d.Unreachable > 0 {
		r.breach("callers of the drained node: %d wrong, %d cut, %d malformed, %d broken, %d unreachable",
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
