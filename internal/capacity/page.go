package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Measurements holds all figures behind docs/CAPACITY.md.
type Measurements struct {
	Points     []Point    `json:"points"`
	SingleNode SingleNode `json:"single"`
}

// The target fleet and the limits of the control cost per node.
const (
	targetNodes      = 10_000.0
	targetServices   = 630.0
	targetCalls      = 430_000.0
	changesPerDay    = 12_000.0
	restartsPerDay   = 1_711.0
	secondsPerDay    = 86_400.0
	limitBytes       = 7 * 1024.0
	limitCorePercent = 2.8
	limitMemoryMB    = 256.0
	limitSpread      = 7.0
	limitReads       = 2000.0
	// bundleKB is the bundle size that the page calculates with.
	bundleKB = 8.0
)

// Files that Write creates or reads.
const (
	figuresFile = "capacity.json"
	pageFile    = "CAPACITY.md"
	textFile    = "capacity.text.md"
)

// Write writes the figures, and the page from its text and the figures.
func (m *Measurements) Write(folder string) error {
	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return fmt.Errorf("encode figures: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, figuresFile), append(data, '\n'), 0o644); err != nil {
		return err
	}
	return WritePage(folder)
}

// WritePage rewrites the page from the figures in the folder.
func WritePage(folder string) error {
	data, err := os.ReadFile(filepath.Join(folder, figuresFile))
	if err != nil {
		return err
	}
	var m Measurements
	if err := json.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode %s: %w", figuresFile, err)
	}
	text, err := os.ReadFile(filepath.Join(folder, textFile))
	if err != nil {
		return err
	}
	page := strings.ReplaceAll(string(text), "<!-- slopes -->\n", m.scalingTable())
	page = strings.ReplaceAll(page, "<!-- target -->\n", m.targetTable())
	page = strings.ReplaceAll(page, "<!-- single -->\n", m.singleNodeTable())
	return os.WriteFile(filepath.Join(folder, pageFile), []byte(page), 0o644)
}

// quantity is one measured value and the way it grows.
type quantity struct {
	name     string
	shape    Shape
	decimals int
	value    func(*Point) float64
}

func quantities() []quantity {
	return []quantity{
		{"control sent at rest, B/s a node", Linear, 0, func(p *Point) float64 { return p.RestBytes }},
		{"messages at rest, /s a node", Linear, 1, func(p *Point) float64 { return p.RestMessages }},
		{"processor time at rest, us/s a node", Linear, 0, func(p *Point) float64 { return p.RestCPUMicro }},
		{"platform calls at rest, /s the fleet", Logarithmic, 1, func(p *Point) float64 { return p.RestReads }},
		{"bundle changed: in force on half, s", Logarithmic, 2, func(p *Point) float64 { return p.ChangeHalfSeconds }},
		{"bundle changed: in force on all, s", Logarithmic, 2, func(p *Point) float64 { return p.ChangeAllSeconds }},
		{"bundle changed: sent, B a node", Linear, 0, func(p *Point) float64 { return p.ChangeBytes }},
		{"bundle changed: processor time, us a node", Linear, 0, func(p *Point) float64 { return p.ChangeCPUMicro }},
		{"bundle changed: platform calls, the fleet", Logarithmic, 1, func(p *Point) float64 { return p.ChangeReads }},
		{"leaving: known to all, s", Logarithmic, 2, func(p *Point) float64 { return p.LeaveAllSeconds }},
		{"leaving: sent, B a node", Linear, 0, func(p *Point) float64 { return p.LeaveBytes }},
		{"region cut off for a minute: agreed again, s", Logarithmic, 2, func(p *Point) float64 { return p.HealSeconds }},
		{"region cut off: sent on healing, B a node", Linear, 0, func(p *Point) float64 { return p.HealBytes }},
		{"a data centre starts: ready, s", Logarithmic, 2, func(p *Point) float64 { return p.CentreReadySeconds }},
		{"a data centre starts: platform calls in a second", Linear, 0, func(p *Point) float64 { return float64(p.CentrePeakReads) }},
		{"a data centre starts: sent, B a node of the fleet", Linear, 0, func(p *Point) float64 { return p.CentreBytes }},
		{"whole fleet starts: ready, s", Logarithmic, 2, func(p *Point) float64 { return p.ReadySeconds }},
		{"whole fleet starts: platform calls in a second", Linear, 0, func(p *Point) float64 { return float64(p.ReadyPeakReads) }},
		{"heap, KB a node", Linear, 0, func(p *Point) float64 { return p.HeapKB }},
	}
}

// scalingTable returns the table of measured points, fits and extrapolations.
func (m *Measurements) scalingTable() string {
	var b strings.Builder
	b.WriteString("| |")
	for _, p := range m.Points {
		fmt.Fprintf(&b, " %d nodes |", p.Nodes)
	}
	b.WriteString(" fit | at 10,000 |\n| --- |")
	b.WriteString(strings.Repeat(" ---: |", len(m.Points)+2))
	b.WriteString("\n")
	for _, q := range quantities() {
		fmt.Fprintf(&b, "| %s |", q.name)
		for i := range m.Points {
			fmt.Fprintf(&b, " %.*f |", q.decimals, q.value(&m.Points[i]))
		}
		line := fit(q.shape, m.Points, q.value)
		fmt.Fprintf(&b, " %s | %.*f |\n", line, q.decimals, m.extrapolate(&q))
	}
	return b.String()
}

// String returns the fit as a formula.
func (l Fit) String() string {
	if l.Shape == Logarithmic {
		return fmt.Sprintf("%.3g %+.3g log10 n", l.A, l.B)
	}
	return fmt.Sprintf("%.3g %+.3g n", l.A, l.B)
}

// extrapolate returns the fitted value at the target size, but at least the highest
// measured one: a falling fit is noise, because no mechanism makes a cost fall with size.
func (m *Measurements) extrapolate(q *quantity) float64 {
	value := fit(q.shape, m.Points, q.value).At(targetNodes)
	for i := range m.Points {
		value = max(value, q.value(&m.Points[i]))
	}
	return value
}

func (m *Measurements) extrapolateByName(name string) float64 {
	for _, q := range quantities() {
		if q.name == name {
			return m.extrapolate(&q)
		}
	}
	panic("unknown quantity " + name)
}

// row compares a calculated value with a limit of the target.
type row struct {
	name, mechanism string
	value, limit    float64
	unit            string
}

// targetTable returns the table of calculated values and limits.
func (m *Measurements) targetTable() string {
	var b strings.Builder
	b.WriteString("| | worked out | limit | part of it | carried by |\n| --- | ---: | ---: | ---: | --- |\n")
	for _, r := range m.rows() {
		share := fmt.Sprintf("%.0f%%", 100*r.value/r.limit)
		if r.value > r.limit {
			share = "**missed: " + share + "**"
		}
		fmt.Fprintf(&b, "| %s | %.3g %s | %.4g %s | %s | %s |\n", r.name, r.value, r.unit, r.limit, r.unit, share, r.mechanism)
	}
	return b.String()
}

// rows calculates the values for the target fleet from the measurements.
func (m *Measurements) rows() []row {
	changes := changesPerDay / secondsPerDay
	joins := restartsPerDay / secondsPerDay
	// A change distributes the bundle; the cost is measured with bundles of bundleBytes
	// and scaled to bundleKB.
	perChange := m.extrapolateByName("bundle changed: sent, B a node") * bundleKB * 1024 / bundleBytes
	// A replacement is one leave and one join. A fresh node receives all bundles and
	// instances from its peers.
	perJoin := 2 * m.extrapolateByName("leaving: sent, B a node")
	freshKB := targetServices*bundleKB + targetNodes*recordBytes/1024
	bytes := m.extrapolateByName("control sent at rest, B/s a node") + changes*perChange + joins*perJoin + joins*freshKB*1024/targetNodes
	cpuMicros := m.extrapolateByName("processor time at rest, us/s a node") + changes*(m.extrapolateByName("bundle changed: processor time, us a node")+m.SingleNode.BundleMicro) +
		(changes+2*joins)*m.SingleNode.UpdateMicro
	memory := m.extrapolateByName("heap, KB a node")/1024 + targetServices*m.SingleNode.BundleHeapKB/1024
	reads := m.extrapolateByName("platform calls at rest, /s the fleet") + changes*m.extrapolateByName("bundle changed: platform calls, the fleet")
	return []row{
		{"control sent, a node", "bounded links, rumours, digests", bytes, limitBytes, "B/s"},
		{"control's processor time, a node", "events only; tables rebuilt on change", cpuMicros / 1e4, limitCorePercent, "% of a core"},
		{"control's heap, a node", "one record an instance, bundles packed", memory, limitMemoryMB, "MB"},
		{"a bundle in force everywhere", "suppressed readers, flooding", m.extrapolateByName("bundle changed: in force on all, s"), limitSpread, "s"},
		{"platform calls, the fleet", "suppressed readers", reads, limitReads, "/s"},
		{"platform calls as a data centre starts", "peers are asked first", m.extrapolateByName("a data centre starts: platform calls in a second"), limitReads, "/s"},
		{"platform calls as the whole fleet starts", "a random wait of 1 s only", m.extrapolateByName("whole fleet starts: platform calls in a second"), limitReads, "/s"},
	}
}

// recordBytes is the approximate size of one instance's record in a snapshot.
const recordBytes = 80

// singleNodeTable returns the table of the figures of one node.
func (m *Measurements) singleNodeTable() string {
	s := &m.SingleNode
	var b strings.Builder
	b.WriteString("| one node | |\n| --- | ---: |\n")
	fmt.Fprintf(&b, "| routing table rebuilt at %d instances | %.1f ms |\n", s.UpdateNodes, s.UpdateMicro/1000)
	fmt.Fprintf(&b, "| one tick of control at %d instances | %.0f us |\n", s.UpdateNodes, s.TickMicro)
	fmt.Fprintf(&b, "| a bundle of %.0f KB verified and checked | %.2f ms |\n", s.BundleKB, s.BundleMicro/1000)
	fmt.Fprintf(&b, "| a bundle of %.0f KB held | %.1f KB |\n", s.BundleKB, s.BundleHeapKB)
	fmt.Fprintf(&b, "| a remembered attempt | %.0f B |\n", s.AttemptBytes)
	fmt.Fprintf(&b, "| a remembered request id with its attempt | %.0f B |\n", s.KeyBytes)
	fmt.Fprintf(&b, "| calls a node carries at the target | %.0f/s |\n", targetCalls/targetNodes)
	return b.String()
}
