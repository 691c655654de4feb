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
	summary:   "show the state of a node",
	details: `Queries the operators' port of one node (IP number and port) for its view: its state,
the bundles in force, the fleet, the age of its sources, the load of its own worker, its
links and its measuring messages.`,
	examples: []string{"127.0.0.1:7003", "-json 127.0.0.1:7003"},
	setup:    remoteSetup(status.NodePath, writeNode),
}

// Table layout.
const (
	columnGap = 2
	padding   = ' '
)

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnGap, padding, 0)
}

// writeNode prints a node's status, fleet and links.
func writeNode(w io.Writer, n *status.Node) error {
	t := newTable(w)
	writeRow(t, "instance", fmt.Sprintf("%s, incarnation %d", orDash(n.Instance), n.Incarnation))
	writeRow(t, "service", fmt.Sprintf("%s in %s", orDash(n.Service), orDash(n.DataCentre)))
	writeRow(t, "state", orDash(n.State))
	writeRow(t, "ready", formatReadiness(n))
	writeRow(t, "bundles", formatBundles(n.Bundles))
	writeRow(t, "configuration", formatSource(n.Sources.ConfigAge, n.Sources.ConfigReads))
	writeRow(t, "list", formatSource(n.Sources.ListAge, n.Sources.ListReads))
	if n.Directory != nil {
		writeRow(t, "directory", formatDirectory(n.Directory))
	}
	writeRow(t, "own worker", fmt.Sprintf("%d of %d in flight, %d queued, %s per request, %.1f%% failed",
		n.Owner.InFlight, n.Owner.Limit, n.Owner.Queued, formatMs(n.Owner.ServiceTime), n.Owner.FailureRate*100))
	writeRow(t, "measuring", fmt.Sprintf("budget %g/s; %d polls, %d probes sent, %d received, %d refused",
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
	writeRow(t, "SERVICE", "LIVE", "COLD", "LEAVING", "GONE")
	for _, c := range f.Services {
		writeRow(t, orDash(c.Service), fmt.Sprint(c.Live), fmt.Sprint(c.Cold), fmt.Sprint(c.Leaving), fmt.Sprint(c.Gone))
	}
	return t.Flush()
}

func writeLinks(w io.Writer, links []status.Link) error {
	fmt.Fprintf(w, "\nLinks, %d:\n", len(links))
	t := newTable(w)
	writeRow(t, "PEER", "DATA CENTRE", "OPENED BY", "AGE")
	for _, l := range links {
		by := "peer"
		if l.Outgoing {
			by = "this node"
		}
		writeRow(t, orDash(l.Peer), orDash(l.DataCentre), by, formatMs(l.Age))
	}
	return t.Flush()
}

func writeRow(w io.Writer, cells ...string) { fmt.Fprintln(w, strings.Join(cells, "\t")) }

// orDash returns a sanitized name received from a node, or a dash if it is empty.
func orDash[T ~string](s T) string {
	if s == "" {
		return "-"
	}
	return sanitize(string(s))
}

// formatReadiness returns whether callers are served and, if not, what is missing.
func formatReadiness(n *status.Node) string {
	if n.Ready {
		return "yes"
	}
	missing := make([]string, len(n.NotReadyReasons))
	for i, m := range n.NotReadyReasons {
		missing[i] = orDash(m)
	}
	if len(missing) == 0 {
		return "no"
	}
	return "no, waiting for " + strings.Join(missing, ", ")
}

func formatBundles(bundles []status.Bundle) string {
	if len(bundles) == 0 {
		return "none"
	}
	out := make([]string, len(bundles))
	for i, b := range bundles {
		out[i] = fmt.Sprintf("%s@%d", orDash(b.Name), b.Version)
	}
	return strings.Join(out, " ")
}

// formatSource returns how long ago a source was confirmed and how often this node read it.
func formatSource(age *status.Milliseconds, reads uint64) string {
	confirmed := "not confirmed"
	if age != nil {
		confirmed = "confirmed " + formatAgo(age)
	}
	return fmt.Sprintf("%s, %d reads by this node", confirmed, reads)
}

// formatAgo formats an age; nil means that the event never happened.
func formatAgo(age *status.Milliseconds) string {
	if age == nil {
		return "never"
	}
	return formatMs(*age) + " ago"
}

const msPerSecond = 1000

// formatMs formats times from one second in seconds, shorter ones in milliseconds.
func formatMs(m status.Milliseconds) string {
	if m >= msPerSecond {
		return fmt.Sprintf("%.1f s", float64(m)/msPerSecond)
	}
	return fmt.Sprintf("%.2f ms", float64(m))
}

// lagDescriptions maps status.Directory.LagReason to the reason why the view is late.
var lagDescriptions = map[string]string{
	"in-time":               "in time",
	"never-read":            "never read",
	"reading-fails":         "late: reads by this node fail, and no peer has a newer revision",
	"reading-slow":          "late: a read is in progress",
	"configuration-refused": "late: this node cannot decode the newest configuration (event 631)",
	"waits-for-peers":       "late: waiting for peers to read",
}

// formatDirectory returns how far behind the node's view of its directory is, and why.
func formatDirectory(d *status.Directory) string {
	words, known := lagDescriptions[d.LagReason]
	if !known {
		words = "late: " + orDash(d.LagReason)
	}
	age := "never confirmed"
	if d.Age != nil {
		age = "confirmed " + formatAgo(d.Age)
	}
	return fmt.Sprintf("%s; revision %d, newest seen %d, %s; %d listed, %d of %d peer requests answered, %d reads failed",
		words, d.Revision, d.NewestSeen, age, d.Listed, d.PeerReplies, d.PeerRequests, d.ReadFailures)
}
