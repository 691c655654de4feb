package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Measurements holds all figures of a bench.
type Measurements struct {
	Runs         []Run          `json:"runs"`
	AddedLatency []AddedLatency `json:"added"`
}

// Files that Write creates or reads.
const (
	figuresFile = "measurements.json"
	pageFile    = "MEASUREMENTS.md"
	// textFile holds figures of other commands. It is appended to the page when it
	// exists.
	textFile = "measurements.text.md"
)

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Write writes the figures, the page and a plot per deployment to a folder.
func (m *Measurements) Write(folder string) error {
	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return fmt.Errorf("encode figures: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, figuresFile), append(data, '\n'), 0o644); err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(folder, textFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, pageFile), []byte(m.page()+string(text)), 0o644); err != nil {
		return err
	}
	for _, name := range m.deployments() {
		if err := m.plot(name, filepath.Join(folder, plotFile(name))); err != nil {
			return fmt.Errorf("plot of deployment %s: %w", name, err)
		}
	}
	return nil
}

// Read reads the figures that Write wrote to a folder.
func Read(folder string) (*Measurements, error) {
	data, err := os.ReadFile(filepath.Join(folder, figuresFile))
	if err != nil {
		return nil, err
	}
	m := &Measurements{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("decode %s: %w", figuresFile, err)
	}
	return m, nil
}

func plotFile(deployment string) string { return "tail-" + deployment + ".svg" }

// cell identifies the repeats of one measurement.
type cell struct {
	deployment, contender string
	share                 float64
}

// cells returns the cells in the order of their first run.
func (m *Measurements) cells() []cell {
	var out []cell
	seen := map[cell]bool{}
	for _, r := range m.Runs {
		c := cell{r.Deployment, r.Contender, r.Share}
		if !seen[c] {
			seen[c] = true
			out = append(out, c)
		}
	}
	return out
}

func (m *Measurements) runsOf(c cell) []Run {
	var out []Run
	for _, r := range m.Runs {
		if c == (cell{r.Deployment, r.Contender, r.Share}) {
			out = append(out, r)
		}
	}
	return out
}

func (m *Measurements) deployments() []string {
	var out []string
	for _, c := range m.cells() {
		if len(out) == 0 || out[len(out)-1] != c.deployment {
			out = append(out, c.deployment)
		}
	}
	return out
}

// spread is a median with the minimum and the maximum.
type spread struct{ median, min, max float64 }

func spreadOf(runs []Run, value func(*Run) float64) spread {
	values := make([]float64, len(runs))
	for i := range runs {
		values[i] = value(&runs[i])
	}
	sort.Float64s(values)
	return spread{median(values), values[0], values[len(values)-1]}
}

// median returns the median of sorted values.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// format formats a spread with the given number of decimals.
func (s spread) format(decimals int) string {
	return fmt.Sprintf("%.*f (%.*f-%.*f)", decimals, s.median, decimals, s.min, decimals, s.max)
}

func (m *Measurements) page() string {
	var b strings.Builder
	b.WriteString("# Measurements\n\nWritten by `make bench`, on loopback in one process: nodes, stand-in workers and\n")
	b.WriteString("callers share the machine, so the figures compare ways in one run and are not\nthose of a deployment. Medians of repeated runs, least and greatest in brackets.\n\n")
	m.writeAddedLatency(&b)
	b.WriteString("## Routing beside its baselines\n\n")
	b.WriteString("Poisson arrivals with bursts of 5-20 ms at four times the rate; in each third of a\nrun another worker is slowed five times, fails every request at once, or refuses\nconnections. Worth is the share of the offered worth that was answered in\ndeadline. Measuring counts polls of workers and probes of owners per answered call.\n\n")
	for _, name := range m.deployments() {
		m.writeComparison(&b, name)
	}
	return b.String()
}

func (m *Measurements) writeAddedLatency(b *strings.Builder) {
	b.WriteString("## Time that two nodes add to a call\n\nThe worker (2 ms a request, constant) called directly, then through an entry and its\nowner, at one rate, measured from the sending of each call.\nLimit: 1.5 ms at the 99th percentile.\n\n")
	b.WriteString("| calls/s | direct p50 ms | direct p99 ms | through p50 ms | through p99 ms | added p50 ms | added p99 ms | not answered, direct and through |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range m.AddedLatency {
		a := &m.AddedLatency[i]
		fmt.Fprintf(b, "| %.0f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %d, %d |\n", a.RatePerSecond,
			a.DirectP50Ms, a.DirectP99Ms, a.ProxiedP50Ms, a.ProxiedP99Ms, a.P50Ms(), a.P99Ms(), a.DirectUnanswered, a.ProxiedUnanswered)
	}
	b.WriteString("\n")
}

func (m *Measurements) writeComparison(b *strings.Builder, deployment string) {
	fmt.Fprintf(b, "### %s\n\n![tail latency](%s)\n\n", deployment, plotFile(deployment))
	b.WriteString("| load | routing | p50 ms | p99 ms | p99 ms of worth | worth % | measuring per answer | promises kept |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range m.cells() {
		if c.deployment != deployment {
			continue
		}
		runs := m.runsOf(c)
		held := 0
		for _, r := range runs {
			if r.GuaranteesHeld {
				held++
			}
		}
		fmt.Fprintf(b, "| %.0f%% | %s | %s | %s | %s | %s | %s | %d of %d |\n", 100*c.share, c.contender,
			spreadOf(runs, func(r *Run) float64 { return r.P50Ms }).format(1),
			spreadOf(runs, func(r *Run) float64 { return r.P99Ms }).format(1),
			spreadOf(runs, func(r *Run) float64 { return r.WorthP99Ms }).format(1),
			spreadOf(runs, func(r *Run) float64 { return 100 * r.Worth }).format(2),
			spreadOf(runs, func(r *Run) float64 { return r.MeasuringPerAnswer }).format(4),
			held, len(runs))
	}
	b.WriteString("\n")
}

// plot saves a plot of the 99th percentile against load, a line per contender.
func (m *Measurements) plot(deployment, file string) error {
	p := plot.New()
	p.Title.Text = deployment + ": 99th percentile by load"
	p.X.Label.Text = "load, % of capacity"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, name := range m.contenders(deployment) {
		var points plotter.XYs
		for _, c := range m.cells() {
			if c.deployment == deployment && c.contender == name {
				p99 := spreadOf(m.runsOf(c), func(r *Run) float64 { return r.P99Ms })
				points = append(points, plotter.XY{X: 100 * c.share, Y: p99.median})
			}
		}
		lines = append(lines, name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

func (m *Measurements) contenders(deployment string) []string {
	var out []string
	seen := map[string]bool{}
	for _, c := range m.cells() {
		if c.deployment == deployment && !seen[c.contender] {
			seen[c.contender] = true
			out = append(out, c.contender)
		}
	}
	return out
}
