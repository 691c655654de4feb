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

// Bounds of a question to a node.
const (
	defaultTimeout = 5 * time.Second
	maxAnswerBytes = 8 << 20
	maxErrorBytes  = 200
)

// operatorAddress reads the one argument of the commands that ask a node.
func operatorAddress(args []string) (string, error) {
	if len(args) != 1 {
		return "", usagef("want the ADDRESS of a node's operators' port, found %d arguments", len(args))
	}
	if _, err := netip.ParseAddrPort(args[0]); err != nil {
		return "", usagef("ADDRESS %q must be an IP number and a port, as in 10.0.0.7:7003", args[0])
	}
	return args[0], nil
}

// question holds the flags of the commands that ask a node.
type question struct {
	asJSON  *bool
	timeout *time.Duration
}

func newQuestion(flags *flag.FlagSet) question {
	return question{
		asJSON:  flags.Bool("json", false, "print the node's answer as it is"),
		timeout: flags.Duration("timeout", defaultTimeout, "how long to wait for the answer"),
	}
}

// shows is the setup of a command that asks a node for one thing and writes it.
func shows[T any](path string, write func(io.Writer, *T) error) func(*flag.FlagSet) runner {
	return func(flags *flag.FlagSet) runner {
		q := newQuestion(flags)
		return func(ctx context.Context, s *streams, args []string) error {
			address, err := operatorAddress(args)
			if err != nil {
				return err
			}
			var answer T
			return q.put(ctx, s, address, path, nil, &answer, func() error { return write(s.out, &answer) })
		}
	}
}

// put asks the node and prints its answer: as it is, or read into answer and
// written by write.
func (q question) put(ctx context.Context, s *streams, address, path string, query url.Values, answer any, write func() error) error {
	body, err := ask(ctx, address, path, query, *q.timeout)
	if err != nil {
		return err
	}
	if *q.asJSON {
		return writeJSON(s, body)
	}
	if err := decode(s, body, answer); err != nil {
		return err
	}
	return write()
}

// ask reads a JSON answer from a node's operators' port.
func ask(ctx context.Context, address, path string, query url.Values, timeout time.Duration) ([]byte, error) {
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%s: answer cut short: %w", target.Redacted(), err)
	case len(body) > maxAnswerBytes:
		return nil, fmt.Errorf("%s: answer over the bound of %d bytes", target.Redacted(), maxAnswerBytes)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: %d %s: %s", target.Redacted(), resp.StatusCode, http.StatusText(resp.StatusCode), firstLine(body))
	case !json.Valid(body):
		return nil, fmt.Errorf("%s: the answer is no JSON", target.Redacted())
	}
	return body, nil
}

// newClient returns a client that takes no proxy from the environment and
// follows no redirect: the question goes to the node that was named.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

func firstLine(body []byte) string {
	line, _, _ := bytes.Cut(bytes.TrimSpace(body), []byte("\n"))
	return clean(string(line[:min(len(line), maxErrorBytes)]))
}

// decode reads an answer into v. A field of another type than this version
// knows is warned of and left empty; the rest is read.
func decode(s *streams, body []byte, v any) error {
	err := json.Unmarshal(body, v)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		s.warnf("warning: field %s of the answer is of another type than this version reads; it is left out", clean(mismatch.Field))
		return nil
	}
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}

// writeJSON prints an answer as it came, indented.
func writeJSON(s *streams, body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		return err
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(s.out)
	return err
}

// clean makes a text from elsewhere fit for a terminal's line or table cell.
func clean(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 || r == '\u2028' || r == '\u2029' {
			return '?'
		}
		return r
	}, text)
}
