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
	summary:   "show which requests workers ended under",
	details: `Asks the operators' port of one node (IP number and port) for the requests under which
workers ended: those that are put aside, which reach no worker, and those that are
only suspect. A request is named by its fingerprint, as in events 514 to 517; what it
asked for is shown where this node has seen it. All nodes know what is put aside, and
those of a service what is suspect there.`,
	examples: []string{"127.0.0.1:7003", "-json 127.0.0.1:7003"},
	setup:    shows(status.QuarantinePath, writeAside),
}

func writeAside(w io.Writer, a *status.Quarantine) error {
	fmt.Fprintf(w, "This node's own worker ended %d times with requests in hand.\n", a.Crashes)
	if len(a.Requests) == 0 {
		fmt.Fprintln(w, "No request is suspect.")
		return nil
	}
	fmt.Fprintln(w)
	t := newTable(w)
	row(t, "STATE", "SINCE", "NEXT TRIAL", "ENDED UNDER IT", "FINGERPRINT", "ASKED")
	for i := range a.Requests {
		r := &a.Requests[i]
		row(t, suspectState(r), sinceWords(r), nextTrial(r), endList(r.Crashes), text(r.Fingerprint), text(r.Label))
	}
	return t.Flush()
}

func suspectState(r *status.SuspectRequest) string {
	if r.Quarantined {
		return "put aside"
	}
	return "suspect"
}

func sinceWords(r *status.SuspectRequest) string {
	if r.SinceAge == nil {
		return "-"
	}
	return ago(r.SinceAge)
}

func nextTrial(r *status.SuspectRequest) string {
	switch {
	case !r.Quarantined:
		return "-"
	case r.NextTrial == nil:
		return "none left"
	}
	return "in " + millis(*r.NextTrial)
}

func endList(ends []status.WorkerCrash) string {
	out := make([]string, len(ends))
	for i, e := range ends {
		age := e.Age
		out[i] = text(e.Instance) + " " + ago(&age)
	}
	return strings.Join(out, ", ")
}
