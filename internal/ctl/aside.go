package ctl

import (
	"fmt"
	"io"
	"strings"

	"gypsumstand/internal/status"
)

var asideCommand = command{
	name:      "aside",
	arguments: "ADDRESS",
	summary:   "list requests during which workers crashed",
	details: `Queries the operators' port of one node (IP number and port) for the requests during
which workers crashed: quarantined requests, which reach no worker, and requests that
are only suspect. A request is identified by its fingerprint, as in events 514 to 517;
its method, host and path are shown if this node has seen it. Every node knows all
quarantined requests; suspect requests are known to the nodes of their service.`,
	examples: []string{"127.0.0.1:7003", "-json 127.0.0.1:7003"},
	setup:    remoteSetup(status.QuarantinePath, writeQuarantine),
}

// writeQuarantine prints the suspect and quarantined requests as a table.
func writeQuarantine(w io.Writer, q *status.Quarantine) error {
	fmt.Fprintf(w, "This node's own worker crashed %d times with requests in flight.\n", q.Crashes)
	if len(q.Requests) == 0 {
		fmt.Fprintln(w, "No suspect requests.")
		return nil
	}
	fmt.Fprintln(w)
	t := newTable(w)
	writeRow(t, "STATE", "SINCE", "NEXT TRIAL", "CRASHES", "FINGERPRINT", "ASKED")
	for i := range q.Requests {
		r := &q.Requests[i]
		writeRow(t, formatState(r), formatSince(r), formatNextTrial(r), formatCrashes(r.Crashes),
			orDash(r.Fingerprint), orDash(r.Label))
	}
	return t.Flush()
}

// formatState returns a request's state for the STATE column.
func formatState(r *status.SuspectRequest) string {
	if r.Quarantined {
		return "quarantined"
	}
	return "suspect"
}

// formatSince returns how long ago the node quarantined the request, or a dash.
func formatSince(r *status.SuspectRequest) string {
	if r.SinceAge == nil {
		return "-"
	}
	return formatAgo(r.SinceAge)
}

// formatNextTrial returns the time until a quarantined request may run once more, or a
// dash for a request that is only suspect.
func formatNextTrial(r *status.SuspectRequest) string {
	switch {
	case !r.Quarantined:
		return "-"
	case r.NextTrial == nil:
		return "none left"
	}
	return "in " + formatMs(*r.NextTrial)
}

// formatCrashes lists the crashed instances and how long ago each crash happened.
func formatCrashes(crashes []status.WorkerCrash) string {
	out := make([]string, len(crashes))
	for i, c := range crashes {
		age := c.Age
		out[i] = orDash(c.Instance) + " " + formatAgo(&age)
	}
	return strings.Join(out, ", ")
}
