package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"strings"

	"gypsumstand/internal/status"
)

var explainCommand = command{
	name:      "explain",
	arguments: "ADDRESS",
	summary:   "show where a node would send a request, and why",
	details: `Queries the operators' port of one node (IP number and port) for the route, class and
upstream that it would choose now for a request, and for the estimates behind the
choice. No request is sent to a worker.`,
	examples: []string{
		"-path /vouchers/17 127.0.0.1:7003",
		"-method POST -path /payouts -tenant cooperative-a 127.0.0.1:7003",
	},
	setup: func(flags *flag.FlagSet) runner {
		method := flags.String("method", "GET", "the request's `METHOD`")
		path := flags.String("path", "", "the request's `PATH`")
		tenant := flags.String("tenant", "", "the caller's `TENANT`")
		class := flags.String("class", "", "the `CLASS` to use instead of the route's")
		q := newRemoteQuery(flags)
		return func(ctx context.Context, s *streams, args []string) error {
			address, err := operatorAddress(args)
			if err != nil {
				return err
			}
			if !strings.HasPrefix(*path, "/") {
				return usagef(`-path must start with "/"`)
			}
			query := url.Values{status.ParamMethod: {*method}, status.ParamPath: {*path}}
			addParam(query, status.ParamTenant, *tenant)
			addParam(query, status.ParamClass, *class)
			var explanation status.Explanation
			return q.show(ctx, s, address, status.ExplainPath, query, &explanation, func() error {
				return writeExplanation(s.out, &explanation)
			})
		}
	},
}

// addParam sets a query parameter unless its value is empty.
func addParam(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}

// writeExplanation prints the routing decision and its candidates.
func writeExplanation(w io.Writer, e *status.Explanation) error {
	fmt.Fprintf(w, "%s %s", orDash(e.Method), orDash(e.Path))
	if e.Tenant != "" {
		fmt.Fprintf(w, " of tenant %s", orDash(e.Tenant))
	}
	if !e.Matched {
		fmt.Fprintf(w, ": not routable: %s\n", orDash(e.Reason))
		return nil
	}
	fmt.Fprintf(w, ": service %s, class %s, %s, from %s\n", orDash(e.Service), orDash(e.Class),
		formatIdempotency(e.Idempotent), formatBundles([]status.Bundle{e.Bundle}))
	if e.Chosen == "" {
		fmt.Fprintf(w, "no upstream available: %s\n", orDash(e.Reason))
	}
	if len(e.Candidates) == 0 {
		return nil
	}
	return writeCandidates(w, e)
}

// writeCandidates prints the candidates as a table; the chosen one is marked with "*".
func writeCandidates(w io.Writer, e *status.Explanation) error {
	t := newTable(w)
	writeRow(t, "", "INSTANCE", "DATA CENTRE", "EXPECTED", "= WAIT", "+ SERVICE", "+ LINK", "+ PENALTY", "IN FLIGHT", "REPORT", "NOTE")
	for _, c := range e.Candidates {
		mark := ""
		if c.Instance == e.Chosen {
			mark = "*"
		}
		writeRow(t, mark, orDash(c.Instance), orDash(c.DataCentre), formatMs(c.Expected), formatMs(c.Wait), formatMs(c.Service),
			formatMs(c.Link), formatMs(c.Penalty), fmt.Sprint(c.InFlight), formatAgo(c.ReportAge), sanitize(c.Note))
	}
	return t.Flush()
}

func formatIdempotency(yes bool) string {
	if yes {
		return "idempotent"
	}
	return "not idempotent"
}
