package simulation

import (
	"fmt"
	"io"
	"time"
)

// upstreamCount is the number of upstreams in the written comparison.
const upstreamCount = 4

// Write simulates every fault at three loads with each contender and writes one line per
// combination as soon as it is measured.
func Write(out io.Writer, contenders []Contender) error {
	_, err := fmt.Fprintf(out, "%-8s %5s  %-16s %8s %8s %8s %9s\n", "fault", "load", "contender", "p50 ms", "p99 ms", "in time", "msgs/call")
	if err != nil {
		return err
	}
	for f := NoFault; f <= SlowLink; f++ {
		for _, load := range []float64{0.6, 0.85, 1.1} {
			for _, c := range contenders {
				o := Repeat(Scenario{Upstreams: upstreamCount, Load: load, Fault: f}, c)
				_, err := fmt.Fprintf(out, "%-8s %4.0f%%  %-16s %8.2f %8.2f %7.2f%% %9.4f\n",
					f, 100*load, c.Name, ms(o.P50), ms(o.P99), 100*o.WithinDeadline, o.Messages)
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
