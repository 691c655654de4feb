package calls

import (
	"fmt"
	"io"
	"sort"
	"time"

	"gypsumstand/internal/entry"
)

func (s *fleetStats) answeredShare() float64 { return float64(s.answered) / float64(s.calls) }
func (s *fleetStats) sendsPerCall() float64  { return float64(s.sends) / float64(s.calls) }

// ms converts to milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))]
}

// header is the format of the column headings.
const header = "%-38s %9s %8s %9s %11s %11s %15s\n"

// write writes the figures of a run under a label.
func (s *fleetStats) write(out io.Writer, label string) error {
	_, err := fmt.Fprintf(out, "%-38s %8.2f%% %8.2f %9.2f %11.3f %11.3f %15.2f\n", label,
		100*s.answeredShare(), ms(quantile(s.latencies, 0.99)), ms(quantile(s.latencies, 0.999)),
		s.sendsPerCall(), float64(s.runs)/float64(s.answered), ms(quantile(s.refusedAfter, 0.99)))
	return err
}

func writeHeader(out io.Writer) error {
	_, err := fmt.Fprintf(out, header, "case", "answered", "p99 ms", "p99.9 ms", "sends/call", "runs/answer", "refused p99 ms")
	return err
}

// WriteRetries compares strategies for retrying refused attempts at other owners, at
// three loads.
func WriteRetries(out io.Writer) error {
	strategies := []struct {
		name   string
		tuning entry.Tuning
	}{
		{"never elsewhere", entry.Tuning{ShedCost: entry.MaxBudget + 1, PlaceCost: entry.MaxBudget + 1}},
		{"elsewhere without a budget", entry.Tuning{}},
		{"elsewhere within the budget", entry.DefaultTuning()},
	}
	if err := writeHeader(out); err != nil {
		return err
	}
	for _, share := range []float64{0.85, 1.1, 2} {
		for _, strategy := range strategies {
			f := newFleet(5, strategy.tuning)
			f.length = fleetLong
			f.run(share)
			if err := f.stats.write(out, fmt.Sprintf("%.0f%%, %s", 100*share, strategy.name)); err != nil {
				return err
			}
		}
	}
	return nil
}

// WriteHedges compares the quantiles after which a hedge is sent, with one of four owners
// slowed five times or paused a quarter of the time.
func WriteHedges(out io.Writer) error {
	faults := []struct {
		name string
		set  func(*fleet)
	}{{"slowed", func(f *fleet) { f.slowFactor = 5 }}, {"paused", (*fleet).pauseRepeatedly}}
	if err := writeHeader(out); err != nil {
		return err
	}
	for _, fault := range faults {
		for _, share := range []float64{0.6, 0.85} {
			for _, after := range []float64{0, 0.95, 0.99} {
				label := fmt.Sprintf("one %s, %.0f%%, after %.2f", fault.name, 100*share, after)
				if err := medianOfSeeds(share, after, fault.set).write(out, label); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// pauseRepeatedly pauses the first owner for 500 ms every two seconds, from the fourth
// second on.
func (f *fleet) pauseRepeatedly() {
	var pause func()
	pause = func() {
		f.pausedUntil = f.now.Add(500 * time.Millisecond)
		f.after(2*time.Second, pause)
	}
	f.after(4*time.Second, pause)
}

// medianOfSeeds runs a fleet with several seeds and returns the figures of the run with
// the median answered share.
func medianOfSeeds(share, quantile float64, inject func(*fleet)) *fleetStats {
	const seeds = 7
	var runs []*fleetStats
	for seed := range uint64(seeds) {
		f := newFleet(seed+1, entry.DefaultTuning())
		f.bundle.Retry.HedgeAfterQuantile = quantile
		f.length = fleetLong
		inject(f)
		f.run(share)
		runs = append(runs, &f.stats)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].answeredShare() < runs[j].answeredShare() })
	return runs[seeds/2]
}
