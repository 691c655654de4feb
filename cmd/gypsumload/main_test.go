package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/load"
)

// startWorker starts a worker and its control server on loopback.
func startWorker(t *testing.T) (w *worker.Worker, target, control string) {
	t.Helper()
	w, err := worker.New(worker.Config{})
	if err != nil {
		t.Fatal(err)
	}
	work, controlServer := httptest.NewServer(w.Handler()), httptest.NewServer(w.Control())
	t.Cleanup(work.Close)
	t.Cleanup(controlServer.Close)
	return w, strings.TrimPrefix(work.URL, "http://"), strings.TrimPrefix(controlServer.URL, "http://")
}

func runCommand(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := run(context.Background(), args, &out, &out)
	return code, out.String()
}

// shortRun returns the flags of a run of 100 ms.
func shortRun(target, control string, more ...string) []string {
	return append([]string{"--target", target, "--direct", "--duration", "100ms", "--settle", "1ms", "--rate", "200", "--timeout", "60s", "--oracle", control}, more...)
}

func TestHelpAndUsageExitCodes(t *testing.T) {
	plan := filepath.Join(t.TempDir(), "plan.toml")
	if err := os.WriteFile(plan, []byte("target = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args string
		code int
		want []string
	}{
		{"--help", exitOK, []string{"Examples:", "Exit codes:", "-resend"}},
		{"--wings", exitUsage, []string{"-wings"}},
		{"", exitUsage, []string{"targets: missing"}},
		{"--oracle x fast", exitUsage, []string{"fast: unexpected", `-oracle: "x"`}},
		{"--target 127.0.0.1:1 --rate -1 --path x", exitUsage, []string{"rate_per_second", "path"}},
		{"--plan " + plan, exitUsage, []string{"plan.toml:1:1: target: unknown key", "stream: 0 streams"}},
		{"--plan " + plan + " --rate 5", exitUsage, []string{"-rate: is not allowed beside -plan"}},
		{"--plan /no/such", exitUsage, []string{"/no/such"}},
	}
	for _, test := range tests {
		code, out := runCommand(t, strings.Fields(test.args)...)
		if code != test.code {
			t.Errorf("%q: code %d, want %d", test.args, code, test.code)
		}
		for _, want := range test.want {
			if !strings.Contains(out, want) {
				t.Errorf("%q: no %q in\n%s", test.args, want, out)
			}
		}
	}
}

func TestRunPrintsJSON(t *testing.T) {
	w, target, control := startWorker(t)
	code, out := runCommand(t, shortRun(target, control, "--json", "--method", "POST")...)
	var got load.Result
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatalf("%v in\n%s", err, out)
	}
	if code != exitOK || got.Total.Counts.Sent == 0 || uint64(got.Total.Counts.Sent) != w.Counters().Received || got.Oracle.Checked != got.Total.Counts.Sent {
		t.Errorf("code %d, %+v", code, got.Total.Counts)
	}
}

func TestViolationExitCode(t *testing.T) {
	w, target, control := startWorker(t)
	if err := w.ChangeFaults(func(f *worker.Faults) { f.CrossedBodyShare = 1 }); err != nil {
		t.Fatal(err)
	}
	if code, out := runCommand(t, shortRun(target, control)...); code != exitViolation {
		t.Errorf("code %d\n%s", code, out)
	}
}

func TestUnreachableOracleFailsRun(t *testing.T) {
	_, target, _ := startWorker(t)
	if code, out := runCommand(t, shortRun(target, "127.0.0.1:1", "--method", "POST")...); code != exitFailed || !strings.Contains(out, "count runs") {
		t.Errorf("code %d\n%s", code, out)
	}
}

func TestPlanFile(t *testing.T) {
	w, target, control := startWorker(t)
	text := `
targets = ["127.0.0.1:1"]
direct = true
duration_ms = 100
[[stream]]
class = "c"
rate_per_second = 100
timeout_ms = 60000
path = "/"
[[step]]
at_ms = 0
url = "http://` + control + `/faults"
body = '{"slow_factor":3}'
`
	plan := filepath.Join(t.TempDir(), "plan.toml")
	if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out := runCommand(t, "--plan", plan, "--target", target)
	if code != exitOK || w.Faults().SlowFactor != 3 || w.Counters().Received == 0 || !strings.Contains(out, "in deadline") {
		t.Errorf("code %d, %+v\n%s", code, w.Faults(), out)
	}
}
