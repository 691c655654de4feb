package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
)

const publicKey = "A6EHv/POEL4dcN0Y50vAmWfk1jCbpQ1fHdyGZBJVMbg="

const valid = `instance = "ledger-1"
service = "ledger"
data_centre = "kigali-a"
caller_address = "127.0.0.1:7001"
peer_address = "127.0.0.1:7002"
operator_address = "127.0.0.1:7003"
worker_address = "127.0.0.1:7004"
peers = ["127.0.0.1:7012"]
[platform]
config_address = "127.0.0.1:7500"
list_address = "127.0.0.1:7500"
[[signer]]
name = "aline"
key = "` + publicKey + `"
`

func TestParseFillsDefaults(t *testing.T) {
	got, err := Parse("node.toml", []byte(valid))
	if err != nil {
		t.Fatalf("Parse: %v", err)
	}
	want := &Settings{
		Instance: "ledger-1", Service: "ledger", DataCentre: "kigali-a",
		CallerAddress: "127.0.0.1:7001", PeerAddress: "127.0.0.1:7002",
		OperatorAddress: "127.0.0.1:7003", WorkerAddress: "127.0.0.1:7004",
		Peers:     []string{"127.0.0.1:7012"},
		Platform:  Platform{ConfigAddress: "127.0.0.1:7500", ListAddress: "127.0.0.1:7500", TimeoutMs: 1000},
		Signers:   []Signer{{Name: "aline", Key: publicKey}},
		Directory: Directory{RetryRatio: 0.2, RetryExtra: 50, WarmingRatio: 1},
		LogLevel:  "info", RequestLogLines: 200, StopTimeoutMs: 30_000, LeaveGraceMs: 2000, MaxHeaderBytes: 32768,
		MaxIdleConnections: 256, LocalDelayUs: 100, RemoteDelayUs: 1000,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings differ (-want +got):\n%s", diff)
	}
}

func TestSettingsGiveTypedValues(t *testing.T) {
	s, err := Parse("node.toml", []byte(valid))
	if err != nil {
		t.Fatalf("Parse: %v", err)
	}
	durations := []time.Duration{s.StopTimeout(), s.LeaveGrace(), s.Platform.Timeout(), s.LocalDelay(), s.RemoteDelay()}
	want := []time.Duration{30 * time.Second, 2 * time.Second, time.Second, 100 * time.Microsecond, time.Millisecond}
	if diff := cmp.Diff(want, durations); diff != "" {
		t.Errorf("durations differ (-want +got):\n%s", diff)
	}
	self := model.Instance{ID: "ledger-1", Service: "ledger", DataCentre: "kigali-a", PeerAddress: "127.0.0.1:7002"}
	if diff := cmp.Diff(self, s.Self()); diff != "" {
		t.Errorf("Self differs (-want +got):\n%s", diff)
	}
	if trusted := s.TrustedSigners(); len(trusted) != 1 || trusted[0].Name != "aline" || len(trusted[0].Key) != 32 {
		t.Errorf("Trusted = %v", trusted)
	}
	if s.Level() != zerolog.InfoLevel || s.TLS.Enabled() {
		t.Errorf("level %v, TLS %v", s.Level(), s.TLS.Enabled())
	}
}

// TestParseFindings changes the valid settings in one place and names all that
// must be found.
func TestParseFindings(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"instance missing", `instance = "ledger-1"`, "", []string{"node.toml: instance: missing"}},
		{"instance with slash", `"ledger-1"`, `"ledger/1"`, []string{`node.toml:1:1: instance: "ledger/1" must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'`}},
		{"unknown key", "[platform]", "speed = 1\n[platform]", []string{"node.toml:9:1: speed: unknown key"}},
		{"wrong type", `service = "ledger"`, "service = 3", []string{"node.toml:2:11: service: must be a string, found integer"}},
		{"host name", "127.0.0.1:7001", "localhost:7001", []string{`node.toml:4:1: caller_address: "localhost:7001" must be an IP number and a port, as in 10.0.0.7:7100 or [fd00::7]:7100`}},
		{"no port", "127.0.0.1:7001", "127.0.0.1:0", []string{`node.toml:4:1: caller_address: "127.0.0.1:0" must have a port from 1 to 65535`}},
		{"zone", "127.0.0.1:7001", "[fe80::1%eth0]:7001", []string{`node.toml:4:1: caller_address: "[fe80::1%eth0]:7001" must have no zone`}},
		{"address missing", `worker_address = "127.0.0.1:7004"`, "", []string{"node.toml: worker_address: missing"}},
		{"address twice", "127.0.0.1:7003", "127.0.0.1:7001", []string{"node.toml:6:1: operator_address: 127.0.0.1:7001 collides with caller_address 127.0.0.1:7001"}},
		{"address within a wildcard", "127.0.0.1:7001", "0.0.0.0:7002", []string{"node.toml:5:1: peer_address: 127.0.0.1:7002 collides with caller_address 0.0.0.0:7002"}},
		{"same address in IPv6 form", "127.0.0.1:7001", "[::ffff:127.0.0.1]:7002", []string{"node.toml:5:1: peer_address: 127.0.0.1:7002 collides with caller_address [::ffff:127.0.0.1]:7002"}},
		{"wildcard peer address", "127.0.0.1:7002", "0.0.0.0:7002", []string{"node.toml:5:1: peer_address: 0.0.0.0:7002 is no address to connect to"}},
		{"addresses that none connects to", "127.0.0.1:7004\"\npeers = [\"127.0.0.1:7012\"]\n[platform]\nconfig_address = \"127.0.0.1:7500\"\nlist_address = \"127.0.0.1:7500", "0.0.0.0:7004\"\n[platform]\nconfig_address = \"[::]:7500\"\nlist_address = \"224.0.0.1:7500", []string{
			"node.toml:7:1: worker_address: 0.0.0.0:7004 is no address to connect to",
			"node.toml:9:1: platform.config_address: [::]:7500 is no address to connect to",
			"node.toml:10:1: platform.list_address: 224.0.0.1:7500 is no address to connect to",
		}},
		{"too many seeds", `["127.0.0.1:7012"]`, seeds(maxPeers + 1), []string{"node.toml:8:1: peers: 1001 peers are over the bound of 1000"}},
		{"bad seed", `["127.0.0.1:7012"]`, `["127.0.0.1", "0.0.0.0:1", "10.0.0.1:2", "10.0.0.1:2"]`, []string{
			`node.toml:8:1: peers: "127.0.0.1" must be an IP number and a port, as in 10.0.0.7:7100 or [fd00::7]:7100`,
			"node.toml:8:1: peers: 0.0.0.0:1 is no address to connect to",
			"node.toml:8:1: peers: 10.0.0.1:2 stands twice",
		}},
		{"platform missing", "[platform]\nconfig_address = \"127.0.0.1:7500\"\nlist_address = \"127.0.0.1:7500\"\n", "", []string{
			"node.toml: platform.config_address: missing",
			"node.toml: platform.list_address: missing",
		}},
		{"platform timeout", "[[signer]]", "timeout_ms = 0\n[[signer]]", []string{"node.toml:12:1: platform.timeout_ms: 0 must be from 1 to 60000"}},
		{"no signer", valid[strings.Index(valid, "[[signer]]"):], "", []string{"node.toml: signer: missing: without a trusted signer no bundle is ever accepted"}},
		{"signer key not base64", publicKey, "!", []string{"node.toml:14:1: signer[0].key: must be base64"}},
		{"signer key short", publicKey, "AAAA", []string{"node.toml:14:1: signer[0].key: must be 32 bytes in base64, found 3"}},
		{"signer twice", "[[signer]]", "[[signer]]\nname = \"aline\"\nkey = \"" + publicKey + "\"\n[[signer]]", []string{
			"node.toml:16:1: signer[1].name: is the same as signer[0].name on line 13",
			"node.toml:17:1: signer[1].key: is the same as signer[0].key on line 14",
		}},
		{"part of TLS", "[platform]", "[tls]\nkey = \"k\"\n[platform]", []string{
			"node.toml:9:2: tls.certificate: missing: certificate, key and authority stand together",
			"node.toml:9:2: tls.authority: missing: certificate, key and authority stand together",
		}},
		{"log level", "[platform]", "log_level = \"loud\"\n[platform]", []string{`node.toml:9:1: log_level: "loud" is not one of debug, info, warn, error`}},
		{"numbers", "[platform]", "stop_timeout_ms = 1\nleave_grace_ms = -1\nmax_header_bytes = 1\nmax_idle_connections = 0\nlocal_delay_us = 0\nremote_delay_us = -5\n[platform]", []string{
			"node.toml:9:1: stop_timeout_ms: 1 must be from 100 to 3600000",
			"node.toml:10:1: leave_grace_ms: -1 must be from 0 to 3600000",
			"node.toml:11:1: max_header_bytes: 1 must be from 4096 to 1048576",
			"node.toml:12:1: max_idle_connections: 0 must be from 1 to 65536",
			"node.toml:13:1: local_delay_us: 0 must be from 1 to 10000000",
			"node.toml:14:1: remote_delay_us: -5 must be from 1 to 10000000",
		}},
		{"grace over the stop", "[platform]", "stop_timeout_ms = 1000\n[platform]", []string{"node.toml:9:1: stop_timeout_ms: leave_grace_ms of 2000 must be under stop_timeout_ms of 1000"}},
		{"several at once", valid, "instance = \"A\"\nspeed = 1\n[platform]\ntimeout_ms = \"x\"\n", []string{
			"node.toml: service: missing",
			"node.toml: data_centre: missing",
			"node.toml: caller_address: missing",
			"node.toml: peer_address: missing",
			"node.toml: operator_address: missing",
			"node.toml: worker_address: missing",
			"node.toml: signer: missing: without a trusted signer no bundle is ever accepted",
			`node.toml:1:1: instance: "A" must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'`,
			"node.toml:2:1: speed: unknown key",
			"node.toml:3:2: platform.config_address: missing",
			"node.toml:3:2: platform.list_address: missing",
			"node.toml:4:14: platform.timeout_ms: must be an integer, found string",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.new, 1)
			if text == valid {
				t.Fatalf("%q is not in the valid settings", tt.old)
			}
			_, err := Parse("node.toml", []byte(text))
			var list finding.List
			if !errors.As(err, &list) {
				t.Fatalf("Parse returned %T %v, want finding.List", err, err)
			}
			if diff := cmp.Diff(tt.want, strings.Split(list.Error(), "\n")); diff != "" {
				t.Errorf("findings differ (-want +got):\n%s", diff)
			}
		})
	}
}

// seeds returns n different addresses as a TOML array.
func seeds(n int) string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("\"127.0.0.1:%d\"", 10_000+i)
	}
	return "[" + strings.Join(out, ", ") + "]"
}

func TestParseRefusesOverAMegabyte(t *testing.T) {
	if _, err := Parse("node.toml", bytes.Repeat([]byte("#"), maxFileBytes+1)); err == nil {
		t.Error("Parse took a file over the bound")
	}
}

func TestLogShowsNoKey(t *testing.T) {
	s, err := Parse("node.toml", []byte(valid))
	if err != nil {
		t.Fatalf("Parse: %v", err)
	}
	var out bytes.Buffer
	logger := zerolog.New(&out)
	s.Log(&logger)
	if !strings.Contains(out.String(), `"signers":"aline"`) || !strings.Contains(out.String(), `"event":150`) {
		t.Errorf("log line lacks its fields: %s", out.String())
	}
	if strings.Contains(out.String(), publicKey) {
		t.Errorf("log line shows a key: %s", out.String())
	}
}

func TestLoadReadsAFileAndNamesIt(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(valid), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err != nil {
		t.Errorf("Load: %v", err)
	}
	if _, err := Load(path + ".absent"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Load of an absent file: %v", err)
	}
}
