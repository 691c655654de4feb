package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"gypsumstand/internal/status"
)

var statusCommand = command{
	name:      "status",
	arguments: "ADDRESS",
	summary:   "show what a node knows",
	details: `Asks the operators' port of one node (IP number and port) for its view: its state,
the bundles in force, the fleet, how old its sources are, its own worker's load, its
links and its measuring.`,
	examples: []string{"127.0.0.1:7003", "-json 127.0.0.1:7003"},
	setup:    shows(status.NodePath, writeNode),
}

// Layout of tables.
const (
	columnGap = 2
	padding   = ' '
)

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnGap, padding, 0)
}

func writeNode(w io.Writer, n *status.Node) error {
	t := newTable(w)
	row(t, "instance", fmt.Sprintf("%s, incarnation %d", text(n.Instance), n.Incarnation))
	row(t, "service", fmt.Sprintf("%s in %s", text(n.Service), text(n.DataCentre)))
	row(t, "state", text(n.State))
	row(t, "ready", readiness(n))
	row(t, "bundles", bundleList(n.Bundles))
	row(t, "configuration", sourceWords(n.Sources.ConfigAge, n.Sources.ConfigReads))
	row(t, "list", sourceWords(n.Sources.ListAge, n.Sources.ListReads))
	if n.Directory != nil {
		row(t, "directory", directoryWords(n.Directory))
	}
	row(t, "own worker", fmt.Sprintf("%d of %d in flight, %d queued, %s a request, %.1f%% failed",
		n.Owner.InFlight, n.Owner.Limit, n.Owner.Queued, millis(n.Owner.ServiceTime), n.Owner.FailureRate*100))
	row(t, "measuring", fmt.Sprintf("budget %g/s; %d polls, %d probes sent, %d received, %d refused",
		n.Measuring.BudgetPerSecond, n.Measuring.Polls, n.Measuring.Sent, n.Measuring.Received, n.Measuring.Refused))
	if err := t.Flush(); err != nil {
		return err
	}
	if err := writeFleet(w, &n.Fleet); err != nil {
		return err
	}
	return writeLinks(w, n.Links)
}

func writeFleet(w io.Writer, f *status.Fleet) error {
	fmt.Fprintf(w, "\nFleet, revision %d:\n", f.Revision)
	t := newTable(w)
	row(t, "SERVICE", "LIVE", "COLD", "LEAVING", "GONE")
	for _, c := range f.Services {
		row(t, text(c.Service), fmt.Sprint(c.Live), fmt.Sprint(c.Cold), fmt.Sprint(c.Leaving), fmt.Sprint(c.Gone))
	}
	return t.Flush()
}

func writeLinks(w io.Writer, links []status.Link) error {
	fmt.Fprintf(w, "\nLinks, %d:\n", len(links))
	t := newTable(w)
	row(t, "PEER", "DATA CENTRE", "OPENED BY", "AGE")
	for _, l := range links {
		by := "peer"
		if l.Outgoing {
			by = "this node"
		}
		row(t, text(l.Peer), text(l.DataCentre), by, millis(l.Age))
	}
	return t.Flush()
}

func row(w io.Writer, cells ...string) { fmt.Fprintln(w, strings.Join(cells, "\t")) }

// text shows a name from elsewhere, or a dash for none.
func text[T ~string](s T) string {
	if s == "" {
		return "-"
	}
	return clean(string(s))
}

func readiness(n *status.Node) string {
	if n.Ready {
		return "yes"
	}
	missing := make([]string, len(n.NotReadyReasons))
	for i, m := range n.NotReadyReasons {
		missing[i] = text(m)
	}
	if len(missing) == 0 {
		return "no"
	}
	return "no, waits for " + strings.Join(missing, ", ")
}

func bundleList(bundles []status.Bundle) string {
	if len(bundles) == 0 {
		return "none"
	}
	out := make([]string, len(bundles))
	for i, b := range bundles {
		out[i] = fmt.Sprintf("%s@%d", text(b.Name), b.Version)
	}
	return strings.Join(out, " ")
}

func sourceWords(age *status.Milliseconds, reads uint64) string {
	confirmed := "not confirmed"
	if age != nil {
		confirmed = "confirmed " + ago(age)
	}
	return fmt.Sprintf("%s, read %d times by this node", confirmed, reads)
}

func ago(age *status.Milliseconds) string {
	if age == nil {
		return "never"
	}
	return millis(*age) + " ago"
}

// secondMs is where times are shown in seconds.
const secondMs = 1000

func millis(m status.Milliseconds) string {
	if m >= secondMs {
		return fmt.Sprintf("%.1f s", float64(m)/secondMs)
	}
	return fmt.Sprintf("%.2f ms", float64(m))
}

// lagWords say why a view of the directory is late.
var lagWords = map[string]string{
	"in-time":               "in time",
	"never-read":            "never read",
	"reading-fails":         "late: this node's readings fail, and no peer knows better",
	"reading-slow":          "late: a reading is under way",
	"configuration-refused": "late: the newest configuration cannot be decoded here (event 631)",
	"waits-for-peers":       "late: others are expected to read",
}

func directoryWords(d *status.Directory) string {
	words, known := lagWords[d.LagReason]
	if !known {
		words = "late: " + text(d.LagReason)
	}
	age := "never confirmed"
	if d.Age != nil {
		age = "confirmed " + ago(d.Age)
	}
	return fmt.Sprintf("%s; revision %d of %d heard of, %s; %d listed, %d of %d questions answered, %d readings failed",
		words, d.Revision, d.NewestSeen, age, d.Listed, d.PeerReplies, d.PeerRequests, d.ReadFailures)
}
