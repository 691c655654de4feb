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
	summary:   "tell where a node would send a request, and why",
	details: `Asks the operators' port of one node (IP number and port) which route, class and
upstream it would choose at this moment for a request, and by which estimates. No
request is sent to any worker.`,
	examples: []string{
		"-path /vouchers/17 127.0.0.1:7003",
		"-method POST -path /payouts -tenant cooperative-a 127.0.0.1:7003",
	},
	setup: func(flags *flag.FlagSet) runner {
		method := flags.String("method", "GET", "the request's `METHOD`")
		path := flags.String("path", "", "the request's `PATH`")
		tenant := flags.String("tenant", "", "the caller's `TENANT`")
		class := flags.String("class", "", "the `CLASS` to assume in place of the route's")
		q := newQuestion(flags)
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
			return q.put(ctx, s, address, status.ExplainPath, query, &explanation, func() error { return writeExplanation(s.out, &explanation) })
		}
	},
}

func addParam(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}

func writeExplanation(w io.Writer, e *status.Explanation) error {
	fmt.Fprintf(w, "%s %s", text(e.Method), text(e.Path))
	if e.Tenant != "" {
		fmt.Fprintf(w, " of tenant %s", text(e.Tenant))
	}
	if !e.Matched {
		fmt.Fprintf(w, ": leads nowhere: %s\n", text(e.Reason))
		return nil
	}
	fmt.Fprintf(w, ": service %s, class %s, %s, by %s\n", text(e.Service), text(e.Class), idempotency(e.Idempotent), bundleList([]status.Bundle{e.Bundle}))
	if e.Chosen == "" {
		fmt.Fprintf(w, "no upstream would be chosen: %s\n", text(e.Reason))
	}
	if len(e.Candidates) == 0 {
		return nil
	}
	return writeCandidates(w, e)
}

func writeCandidates(w io.Writer, e *status.Explanation) error {
	t := newTable(w)
	row(t, "", "INSTANCE", "DATA CENTRE", "EXPECTED", "= WAIT", "+ SERVICE", "+ LINK", "+ PENALTY", "IN FLIGHT", "REPORT", "NOTE")
	for _, c := range e.Candidates {
		mark := ""
		if c.Instance == e.Chosen {
			mark = "*"
		}
		row(t, mark, text(c.Instance), text(c.DataCentre), millis(c.Expected), millis(c.Wait), millis(c.Service),
			millis(c.Link), millis(c.Penalty), fmt.Sprint(c.InFlight), ago(c.ReportAge), clean(c.Note))
	}
	return t.Flush()
}

func idempotency(yes bool) string {
	if yes {
		return "idempotent"
	}
	return "not idempotent"
}
