package daemon

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// childVariable is the environment variable with the settings path. If it is set, the test
// binary runs a node instead of the tests.
const childVariable = "GYPSUMSTAND_TEST_DAEMON"

func TestMain(m *testing.M) {
	if path, ok := os.LookupEnv(childVariable); ok {
		os.Exit(Run(context.Background(), path, os.Stdout, nil))
	}
	os.Exit(m.Run())
}

// Guards against SIGPIPE: if the reader of a node's log exits, the next write to the broken
// pipe on standard output kills the process with every request in flight. The child would
// then exit with "signal: broken pipe".
func TestBrokenLogPipeDoesNotKillNode(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(settings, []byte("unknown = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"="+settings)
	child.Stdout = writer
	var exit *exec.ExitError
	if err := child.Run(); !errors.As(err, &exit) || exit.ExitCode() != ExitSettings {
		t.Errorf("child exited with %v, want exit code %d", err, ExitSettings)
	}
}
