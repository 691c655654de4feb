package daemon

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// childVariable names the settings of a process that is started as a node by a test.
const childVariable = "GYPSUMSTAND_TEST_DAEMON"

func TestMain(m *testing.M) {
	if path, ok := os.LookupEnv(childVariable); ok {
		os.Exit(Run(context.Background(), path, os.Stdout, nil))
	}
	os.Exit(m.Run())
}

// A node whose log's reader went away was ended by its next line, with every request that it
// had in hand, and without a word: a write to a broken pipe on standard output ends a process.
// The evidence is the end of the child here, "signal: broken pipe".
func TestALogWhoseReaderHasGoneEndsNoNode(t *testing.T) {
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
		t.Errorf("ended with %v, want exit code %d", err, ExitSettings)
	}
}
