package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/node"
	"gypsumstand/internal/pause"
)

const testSettings = `instance = %q
service = "ledger"
data_centre = "kigali-a"
caller_address = %q
peer_address = "127.0.0.1:7002"
operator_address = "127.0.0.1:7003"
worker_address = "127.0.0.1:7004"
stop_timeout_ms = %d
[platform]
config_address = "127.0.0.1:7500"
list_address = "127.0.0.1:7500"
[[signer]]
name = "aline"
key = "A6EHv/POEL4dcN0Y50vAmWfk1jCbpQ1fHdyGZBJVMbg="
`

// run writes settings and runs the daemon on them. It returns the exit code and the values
// of the given field in all log lines.
func run(t *testing.T, field, instance, callers string, stopTimeoutMs int) (exit int, values []string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, testSettings, instance, callers, stopTimeoutMs), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	exit = Run(t.Context(), path, &log, nil)
	for line := range bytes.Lines(log.Bytes()) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		if text, ok := fields[field].(string); ok {
			values = append(values, strings.TrimPrefix(text, path+":"))
		}
	}
	return exit, values
}

func TestAllSettingsErrorsAreLogged(t *testing.T) {
	exit, findings := run(t, "finding", "Ledger 1", "127.0.0.1", 1)
	if exit != 3 {
		t.Errorf("exit code %d, want 3", exit)
	}
	want := []string{
		`1:1: instance: "Ledger 1" must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'`,
		`4:1: caller_address: "127.0.0.1" must be an IP number and a port, as in 10.0.0.7:7100 or [fd00::7]:7100`,
		`8:1: stop_timeout_ms: 1 must be from 100 to 3600000`,
		`8:1: stop_timeout_ms: leave_grace_ms of 2000 must be under stop_timeout_ms of 1`,
	}
	if diff := cmp.Diff(want, findings); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}

func TestPortInUseFailsStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	exit, errs := run(t, "error", "ledger-1", taken.Addr().String(), 30_000)
	if exit != 1 || len(errs) != 1 {
		t.Errorf("exit code %d, errors %q, want 1 and one error", exit, errs)
	}
}

// The exit codes are literal here because gypsumd's usage text documents the numbers.
func TestExitCodes(t *testing.T) {
	for _, tt := range []struct {
		err  error
		want int
	}{
		{nil, 0},
		{fmt.Errorf("stop: %w", node.ErrCutOff), 4},
		{errors.New("port closed"), 1},
	} {
		if got := exitCode(tt.err); got != tt.want {
			t.Errorf("%v: exit code %d, want %d", tt.err, got, tt.want)
		}
	}
}

// Guards against a SIGHUP that kills a node during a graceful stop, when its handler is
// removed as soon as the stop begins.
func TestSIGHUPDuringStopIsHandled(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	path := filepath.Join(t.TempDir(), "node.toml")
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	if err := os.WriteFile(path, fmt.Appendf(nil, testSettings, "ledger-1", address, 30_000), 0o600); err != nil {
		t.Fatal(err)
	}
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	code := make(chan int, 1)
	go func() {
		defer write.Close()
		code <- Run(ctx, path, write, nil)
	}()
	lines := bufio.NewScanner(read)
	for lines.Scan() {
		switch {
		case strings.Contains(lines.Text(), `"event":100,`):
			stop()
		case strings.Contains(lines.Text(), `"event":101,`):
			// Waits until everything that ends when the stop begins has ended. Without a
			// handler the signal then kills the test process.
			pause.For(t.Context(), 300*time.Millisecond)
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
	}
	if got := <-code; got != ExitOK {
		t.Errorf("exit code %d, want %d", got, ExitOK)
	}
}
