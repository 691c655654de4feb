package simulation

import "testing"

// TestProductBeatsBaselines runs a part of the policy comparison with one seed.
func TestProductBeatsBaselines(t *testing.T) {
	const seed = 1
	policies := Policies()
	for _, f := range []Fault{Failing, Cold} {
		sc := Scenario{Upstreams: 4, Load: 0.6, Fault: f}
		best := Run(seed, sc, policies[0])
		for _, c := range policies[1:] {
			o := Run(seed, sc, c)
			if best.P99 >= o.P99 || best.WithinDeadline < o.WithinDeadline {
				t.Errorf("%s: product %+v, %s %+v", f, best, c.Name, o)
			}
		}
	}
}
