package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// Limits of a query to a node.
const (
	defaultTimeout   = 5 * time.Second
	maxResponseBytes = 8 << 20
	maxErrorBytes    = 200
)

// operatorAddress returns the ADDRESS argument of a command that queries a node.
func operatorAddress(args []string) (string, error) {
	if len(args) != 1 {
		return "", usagef("want one argument, the ADDRESS of a node's operators' port, got %d", len(args))
	}
	if _, err := netip.ParseAddrPort(args[0]); err != nil {
		return "", usagef("ADDRESS %q must be an IP number and a port, as in 10.0.0.7:7003", args[0])
	}
	return args[0], nil
}

// remoteQuery holds the flags of commands that query a node.
type remoteQuery struct {
	asJSON  *bool
	timeout *time.Duration
}

func newRemoteQuery(flags *flag.FlagSet) remoteQuery {
	return remoteQuery{
		asJSON:  flags.Bool("json", false, "print the node's JSON response"),
		timeout: flags.Duration("timeout", defaultTimeout, "time limit for the response"),
	}
}

// remoteSetup returns the setup of a command that fetches path from a node and prints the
// response with write.
func remoteSetup[T any](path string, write func(io.Writer, *T) error) func(*flag.FlagSet) runner {
	return func(flags *flag.FlagSet) runner {
		q := newRemoteQuery(flags)
		return func(ctx context.Context, s *streams, args []string) error {
			address, err := operatorAddress(args)
			if err != nil {
				return err
			}
			var response T
			return q.show(ctx, s, address, path, nil, &response, func() error { return write(s.out, &response) })
		}
	}
}

// show queries the node and prints the JSON response as received or, without -json,
// decodes it into response and calls write.
func (q remoteQuery) show(
	ctx context.Context, s *streams, address, path string, query url.Values, response any, write func() error,
) error {
	body, err := fetchJSON(ctx, address, path, query, *q.timeout)
	if err != nil {
		return err
	}
	if *q.asJSON {
		return writeJSON(s, body)
	}
	if err := decode(s, body, response); err != nil {
		return err
	}
	return write()
}

// fetchJSON returns the JSON body of a GET of path on a node's operators' port.
func fetchJSON(ctx context.Context, address, path string, query url.Values, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := newClient().Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: response truncated: %w", target.Redacted(), err)
	case len(body) > maxResponseBytes:
		return nil, fmt.Errorf("%s: response exceeds the limit of %d bytes", target.Redacted(), maxResponseBytes)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: %d %s: %s", target.Redacted(), resp.StatusCode, http.StatusText(resp.StatusCode), firstLine(body))
	case !json.Valid(body):
		return nil, fmt.Errorf("%s: response is not valid JSON", target.Redacted())
	}
	return body, nil
}

// newClient returns a client that ignores proxy variables of the environment and follows
// no redirects, so that the query reaches only the node at the given address.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// firstLine returns the first line of an error body, at most maxErrorBytes long.
func firstLine(body []byte) string {
	line, _, _ := bytes.Cut(bytes.TrimSpace(body), []byte("\n"))
	return sanitize(string(line[:min(len(line), maxErrorBytes)]))
}

// decode decodes a response into v. It skips a field of an unexpected type with a warning,
// since the node may run another version, and decodes the other fields.
func decode(s *streams, body []byte, v any) error {
	err := json.Unmarshal(body, v)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		s.warnf("warning: field %s of the response has an unexpected type and is ignored", sanitize(mismatch.Field))
		return nil
	}
	if err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// writeJSON prints a JSON response, indented.
func writeJSON(s *streams, body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		return err
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(s.out)
	return err
}

// sanitize replaces control characters and line separators, so that text from a node
// cannot control the terminal or break a table.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 || r == '\u2028' || r == '\u2029' {
			return '?'
		}
		return r
	}, s)
}
