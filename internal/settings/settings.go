// Package settings reads a node's settings: its own addresses, its place, the
// platform's addresses and the signers it trusts. Settings are TOML, read
// strictly; every fault is found in one pass with file, line and key. What
// concerns services and limits is the bundles' matter, not the settings'.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/event"
	"gypsumstand/internal/keys"
	"gypsumstand/internal/model"
	"gypsumstand/internal/tomlfile"
)

// Settings are a node's checked settings. Readers must not change them. All
// addresses are "ip:port"; nodes look no names up.
type Settings struct {
	// Instance is the node's name in the platform's list.
	Instance model.InstanceID `toml:"instance"`
	// Service is the service that the node's own worker belongs to.
	Service    model.ServiceName `toml:"service"`
	DataCentre model.DataCentre  `toml:"data_centre"`
	// Places names the region of each data centre. Without it requests that are bound to
	// regions are refused.
	Places []Place `toml:"place"`
	// CallerAddress is where callers' requests are taken (HTTP/1.1).
	CallerAddress string `toml:"caller_address"`
	// PeerAddress is where other nodes' calls and links are taken. It is the
	// address that peers are told, so it names one interface.
	PeerAddress string `toml:"peer_address"`
	// OperatorAddress is where metrics, health and status are served.
	OperatorAddress string `toml:"operator_address"`
	// WorkerAddress is where the node's own worker takes requests.
	WorkerAddress string   `toml:"worker_address"`
	Platform      Platform `toml:"platform"`
	// Directory, when its address is set, is the source of instances and
	// configuration in place of Platform, Signers and Peers.
	Directory Directory `toml:"directory"`
	// Signers are the people whose sign-off of bundles is trusted; at least one.
	Signers []Signer `toml:"signer"`
	// Peers are peer addresses of other nodes that are tried before the
	// platform's list has been read; may be empty.
	Peers []string `toml:"peers"`
	// TLS secures the peer port; the zero value means none.
	TLS TLS `toml:"tls"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`
	// RequestLogLines bounds the log lines a second about single requests. Default 200,
	// from 0 to 100000.
	RequestLogLines int `toml:"request_log_lines"`
	// StopTimeoutMs bounds a planned stop, in milliseconds; what is in flight
	// after it is cut off. Default 30000, from 100 to 3600000.
	StopTimeoutMs int64 `toml:"stop_timeout_ms"`
	// LeaveGraceMs is how long, in milliseconds, the caller port still accepts
	// after the peers were told that this node leaves. Default 2000, from 0 to
	// less than StopTimeoutMs.
	LeaveGraceMs int64 `toml:"leave_grace_ms"`
	// StopMarginMs is how long before the end of StopTimeoutMs the stop ends, in
	// milliseconds, where StopTimeoutMs is when the process is killed. Default 0,
	// from 0 to 10000 and under StopTimeoutMs.
	StopMarginMs int64 `toml:"stop_margin_ms"`
	// MemoryLimitMb is the memory that the process may have, in MiB; the collector
	// keeps the heap within half of it. Default 0: no bound. From 0 to 1048576.
	MemoryLimitMb int64 `toml:"memory_limit_mb"`
	// MaxHeaderBytes bounds the header of a request, in bytes. Default 32768,
	// from 4096 to 1048576.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MaxIdleConnections bounds the idle connections that this node keeps open
	// to other nodes, all together, and also those that callers keep open to it.
	// Default 256, from 1 to 65536.
	MaxIdleConnections int `toml:"max_idle_connections"`
	// LocalDelayUs and RemoteDelayUs are the first guesses of one-way time, in
	// microseconds, to a node of this and of another data centre; measured times
	// replace them. Defaults 100 and 1000, from 1 to 10000000.
	LocalDelayUs  int64 `toml:"local_delay_us"`
	RemoteDelayUs int64 `toml:"remote_delay_us"`
}

// Place is a data centre in its region.
type Place struct {
	DataCentre model.DataCentre `toml:"data_centre"`
	Region     model.RegionName `toml:"region"`
}

// Regions returns the region of each data centre.
func (s *Settings) Regions() model.DataCentreRegions {
	places := make(model.DataCentreRegions, len(s.Places))
	for _, p := range s.Places {
		places[p.DataCentre] = p.Region
	}
	return places
}

// Platform tells where the platform's two services are; the addresses may be
// equal.
type Platform struct {
	// ConfigAddress is the configuration service's.
	ConfigAddress string `toml:"config_address"`
	// ListAddress is that of the list of live and leaving instances.
	ListAddress string `toml:"list_address"`
	// TimeoutMs bounds one read, in milliseconds. Default 1000, from 1 to 60000.
	TimeoutMs int64 `toml:"timeout_ms"`
}

// Directory is a read-only source of both the workers and the configuration, which
// others have checked and signed off.
type Directory struct {
	// Address is the source's; empty means that there is none.
	Address string `toml:"address"`
	// RetryRatio and RetryExtra bound the extra arrivals that all nodes together may
	// cause at a service's workers in ten seconds: RetryRatio of its requests, and
	// RetryExtra more. Defaults 0.2, from 0 to 1, and 50, from 0 to 1000000.
	RetryRatio float64 `toml:"retry_ratio"`
	RetryExtra float64 `toml:"retry_extra"`
	// WarmingRatio and WarmingExtra bound the requests that a warming worker may get in any
	// second: WarmingRatio times what its service says that it bears, and WarmingExtra more.
	// Defaults 1, from 1 to 100, and 0, from 0 to 10000.
	WarmingRatio float64 `toml:"warming_ratio"`
	WarmingExtra float64 `toml:"warming_extra"`
}

// Timeout returns the bound of one read.
func (p *Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMs) }

// Signer is a trusted signer: a name and an Ed25519 public key in base64.
type Signer struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
}

// Load reads and checks the settings file at path as Parse does, and also that
// the TLS files can be used. Their paths are taken as the process sees them.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return parse(path, data, func(s *Settings, doc *tomlfile.Document) {
		check(s, doc)
		checkTLSFiles(&s.TLS, doc)
	})
}

// Self returns the node as the fleet knows it, without an incarnation.
func (s *Settings) Self() model.Instance {
	return model.Instance{ID: s.Instance, Service: s.Service, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress}
}

// TrustedSigners returns the signers whose bundles are accepted.
func (s *Settings) TrustedSigners() []bundle.Signer {
	out := make([]bundle.Signer, 0, len(s.Signers))
	for _, signer := range s.Signers {
		// Parse has checked the key; one that does not decode trusts nobody.
		if key, err := keys.DecodePublic(signer.Key); err == nil {
			out = append(out, bundle.Signer{Name: signer.Name, Key: key})
		}
	}
	return out
}

// Level returns the log level.
func (s *Settings) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// StopTimeout returns the bound of a planned stop.
func (s *Settings) StopTimeout() time.Duration {
	return milliseconds(s.StopTimeoutMs - s.StopMarginMs)
}

// MemoryLimit returns the bound of the process's memory in bytes; 0 means none.
func (s *Settings) MemoryLimit() int64 { return s.MemoryLimitMb << 20 }

// LeaveGrace returns how long callers are accepted after leaving was told.
func (s *Settings) LeaveGrace() time.Duration { return milliseconds(s.LeaveGraceMs) }

// LocalDelay returns the first guess of one-way time within the data centre.
func (s *Settings) LocalDelay() time.Duration { return microseconds(s.LocalDelayUs) }

// RemoteDelay returns the first guess of one-way time to another data centre.
func (s *Settings) RemoteDelay() time.Duration { return microseconds(s.RemoteDelayUs) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Log writes a summary without any key.
func (s *Settings) Log(logger *zerolog.Logger) {
	line := event.Log(logger, event.SettingsLoaded).
		Str("instance", string(s.Instance)).
		Str("service", string(s.Service)).
		Str("data_centre", string(s.DataCentre)).
		Str("caller_address", s.CallerAddress).
		Str("peer_address", s.PeerAddress).
		Str("operator_address", s.OperatorAddress).
		Str("worker_address", s.WorkerAddress).
		Str("directory_address", s.Directory.Address).
		Str("config_address", s.Platform.ConfigAddress).
		Str("list_address", s.Platform.ListAddress).
		Str("signers", s.signerNames()).
		Int("peers", int64(len(s.Peers))).
		Str("peer_security", s.TLS.name()).
		Int("stop_timeout_ms", s.StopTimeoutMs).
		Int("leave_grace_ms", s.LeaveGraceMs)
	line.Send()
}

func (s *Settings) signerNames() string {
	out := ""
	for i, signer := range s.Signers {
		if i > 0 {
			out += " "
		}
		out += signer.Name
	}
	return out
}
