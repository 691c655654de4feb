package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/registry"
)

func write(t *testing.T, name string, data []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestHelpAndUsageExitCodes(t *testing.T) {
	fleet := write(t, "fleet.toml", []byte("[[instance]]\nid = \"a\"\nservice = \"s\"\ndata_centre = \"k\"\npeer_address = \"here:1\"\nrack = 1\n"))
	profiles := write(t, "profiles.toml", []byte("[[profile]]\npath = \"/a\"\n\n[[profile]]\npath = \"b\"\nsigma = -1\n"))
	junk := write(t, "junk", []byte("junk"))
	tests := []struct {
		args string
		code int
		want []string
	}{
		{"--help", exitOK, []string{"Examples:", "Exit codes:"}},
		{"worker --help", exitOK, []string{"-slots", "Exit codes:"}},
		{"platform -h", exitOK, []string{"-instances", "Exit codes:"}},
		{"", exitUsage, []string{"Usage:"}},
		{"node", exitUsage, []string{`"node" is not a command`}},
		{"worker --wings 2", exitUsage, []string{"-wings"}},
		{"worker fast", exitUsage, []string{`unexpected argument "fast"`}},
		{"worker --cold icy", exitUsage, []string{"icy"}},
		{"worker --node host:1 --connections -1", exitUsage, []string{"host:1", "connections: must not be negative"}},
		{"worker --slots -1 --distribution flat", exitUsage, []string{"slots: must not", `"flat" is not a distribution`}},
		{"worker --profiles " + profiles, exitUsage, []string{":5:1: profile[1].path", ":6:1: profile[1].sigma"}},
		{"worker --profiles /no/such", exitUsage, []string{"/no/such"}},
		{"platform --rate 0 --lag -1s --publish " + junk + " --instances " + fleet, exitUsage,
			[]string{"rate_per_second", "list_lag_ms", "junk: ", ":5:1: instance[0].peer_address", ":6:1: instance[0].rack: unknown key"}},
		{"platform --listen nowhere", exitFailed, []string{"stand-in failed"}},
		{"worker --listen 127.0.0.1:0 --control nowhere", exitFailed, []string{"stand-in failed"}},
	}
	for _, test := range tests {
		var out bytes.Buffer
		code := run(context.Background(), strings.Fields(test.args), &out, &out)
		if code != test.code {
			t.Errorf("%q: code %d, want %d", test.args, code, test.code)
		}
		for _, want := range test.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%q: no %q in\n%s", test.args, want, out.String())
			}
		}
	}
}

// start runs the command with free ports and returns their addresses. stop ends the command
// and returns its exit code.
func start(t *testing.T, args ...string) (listen, control string, stop func() int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	logs, logWriter := io.Pipe()
	code := make(chan int, 1)
	go func() {
		code <- run(ctx, append(args, "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"), io.Discard, logWriter)
		_ = logWriter.Close()
	}()
	lines := json.NewDecoder(logs)
	var started struct{ Message, Listen, Control string }
	if err := lines.Decode(&started); err != nil || started.Message != "stand-in started" {
		t.Fatalf("first line %+v, %v", started, err)
	}
	go func() { _, _ = io.Copy(io.Discard, logs) }()
	return started.Listen, started.Control, func() int {
		cancel()
		return <-code
	}
}

func TestPlatformServesListAndBundle(t *testing.T) {
	_, key, err := ed25519.GenerateKey(bytes.NewReader(make([]byte, 64)))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join("testdata", "bundle.toml"))
	if err != nil {
		t.Fatal(err)
	}
	signed, err := bundle.Sign("ada", key, text).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	fleet := write(t, "fleet.toml", []byte("[[instance]]\nid = \"a\"\nservice = \"s\"\ndata_centre = \"k\"\npeer_address = \"127.0.0.1:1\"\n"))
	listen, _, stop := start(t, "platform", "--instances", fleet, "--publish", write(t, "b.signed", signed))
	client, err := registry.NewClient(registry.ClientConfig{Addresses: []string{listen}})
	if err != nil {
		t.Fatal(err)
	}
	list, err := client.List(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	want := control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{
		{ID: "a", Service: "s", DataCentre: "k", PeerAddress: "127.0.0.1:1", State: model.StateLive}}}
	if diff := cmp.Diff(want, list); diff != "" {
		t.Error(diff)
	}
	if data, err := client.Value(t.Context(), "b"); err != nil || !bytes.Equal(data, signed) {
		t.Errorf("value: %d bytes, %v", len(data), err)
	}
	client.Close()
	if code := stop(); code != exitOK {
		t.Errorf("code %d", code)
	}
}

func TestColdWorkerWarmsUpByControlPort(t *testing.T) {
	listen, control, stop := start(t, "worker", "--cold", "refuse", "--mean", "1ms")
	get := func() error {
		resp, err := http.Get("http://" + listen + "/a")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	if get() == nil {
		t.Error("a cold worker accepted a connection")
	}
	req, err := http.NewRequest(http.MethodPatch, "http://"+control+"/faults", strings.NewReader(`{"cold":"none"}`))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("%v, %v", resp, err)
	}
	_ = resp.Body.Close()
	if err := get(); err != nil {
		t.Errorf("request to the warm worker: %v", err)
	}
	http.DefaultClient.CloseIdleConnections()
	if code := stop(); code != exitOK {
		t.Errorf("code %d", code)
	}
}
