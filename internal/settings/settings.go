// Package settings reads a node's settings: its own addresses, its data centre, the
// addresses of the platform or directory, and the signers it trusts. Settings are TOML and
// decoded strictly; all findings are reported together, with file, line and key. Services
// and their limits are configured in bundles, not here.
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

// Settings are a node's checked settings. Readers must not modify them. All addresses have
// the form "ip:port"; nodes resolve no host names.
type Settings struct {
	// Instance is the node's id in the platform's list.
	Instance model.InstanceID `toml:"instance"`
	// Service is the service of the node's own worker.
	Service    model.ServiceName `toml:"service"`
	DataCentre model.DataCentre  `toml:"data_centre"`
	// Places gives the region of each data centre. Without it, requests that are limited to
	// regions are refused.
	Places []Place `toml:"place"`
	// CallerAddress is where the node accepts callers' requests (HTTP/1.1).
	CallerAddress string `toml:"caller_address"`
	// PeerAddress is where the node accepts other nodes' calls and links. It is announced
	// to peers, so it must not be a wildcard address.
	PeerAddress string `toml:"peer_address"`
	// OperatorAddress is where the node serves metrics, health and status.
	OperatorAddress string `toml:"operator_address"`
	// WorkerAddress is where the node's own worker accepts requests.
	WorkerAddress string   `toml:"worker_address"`
	Platform      Platform `toml:"platform"`
	// Directory, if its address is set, replaces Platform, Signers and Peers as the source
	// of instances and configuration.
	Directory Directory `toml:"directory"`
	// Signers are the trusted signers of bundles: at least one, unless Directory is used.
	Signers []Signer `toml:"signer"`
	// Peers are the peer addresses of other nodes to contact before the platform's list has
	// been read; may be empty.
	Peers []string `toml:"peers"`
	// TLS configures mutual TLS between peers; the zero value disables it.
	TLS TLS `toml:"tls"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`
	// RequestLogLines is the maximum number of log lines per second about single requests.
	// Default 200, from 0 to 100000.
	RequestLogLines int `toml:"request_log_lines"`
	// StopTimeoutMs is the maximum duration of a planned stop, in milliseconds; requests
	// that are still in flight after it are aborted. Default 30000, from 100 to 3600000.
	StopTimeoutMs int64 `toml:"stop_timeout_ms"`
	// LeaveGraceMs is how long the caller port still accepts requests after this node has
	// announced to its peers that it is leaving, in milliseconds. Default 2000, from 0 to
	// less than StopTimeoutMs.
	LeaveGraceMs int64 `toml:"leave_grace_ms"`
	// StopMarginMs is how long before the end of StopTimeoutMs the stop completes, in
	// milliseconds, for a supervisor that kills the process after StopTimeoutMs. Default 0,
	// from 0 to 10000 and less than StopTimeoutMs.
	StopMarginMs int64 `toml:"stop_margin_ms"`
	// MemoryLimitMb is the memory limit of the process, in MiB; the garbage collector keeps
	// the heap within half of it. Default 0: no limit. From 0 to 1048576.
	MemoryLimitMb int64 `toml:"memory_limit_mb"`
	// MaxHeaderBytes is the maximum size of a request's header, in bytes. Default 32768,
	// from 4096 to 1048576.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MaxIdleConnections is the maximum number of idle connections that this node keeps
	// open to all other nodes together. Default 256, from 1 to 65536.
	MaxIdleConnections int `toml:"max_idle_connections"`
	// LocalDelayUs and RemoteDelayUs are the initial estimates of the one-way delay to a
	// node of this and of another data centre, in microseconds; measurements replace them.
	// Defaults 100 and 1000, from 1 to 10000000.
	LocalDelayUs  int64 `toml:"local_delay_us"`
	RemoteDelayUs int64 `toml:"remote_delay_us"`
}

// Place assigns a data centre to a region.
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

// Platform holds the addresses of the platform's two services, which may be equal.
type Platform struct {
	// ConfigAddress is the address of the configuration service.
	ConfigAddress string `toml:"config_address"`
	// ListAddress is the address of the list of live and leaving instances.
	ListAddress string `toml:"list_address"`
	// TimeoutMs is the timeout of one read, in milliseconds. Default 1000, from 1 to 60000.
	TimeoutMs int64 `toml:"timeout_ms"`
}

// Directory is a read-only source of both the workers and the configuration, which has been
// checked and approved outside of this system.
type Directory struct {
	// Address is the directory's address; empty means that no directory is used.
	Address string `toml:"address"`
	// RetryRatio and RetryExtra limit the extra arrivals that all nodes together may cause
	// at a service's workers in ten seconds, to RetryRatio times its requests plus
	// RetryExtra. Defaults 0.2, from 0 to 1, and 50, from 0 to 1000000.
	RetryRatio float64 `toml:"retry_ratio"`
	RetryExtra float64 `toml:"retry_extra"`
	// WarmingRatio and WarmingExtra limit the requests that a warming worker may get in any
	// second, to WarmingRatio times the rate that its service's configuration allows plus
	// WarmingExtra. Defaults 1, from 1 to 100, and 0, from 0 to 10000.
	WarmingRatio float64 `toml:"warming_ratio"`
	WarmingExtra float64 `toml:"warming_extra"`
	// Terms names the sets of rules that the directory's operator has in force. Only the
	// adapter interprets them. Default: none.
	Terms []string `toml:"terms"`
}

// Timeout returns the timeout of one read.
func (p *Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMs) }

// Signer is a trusted signer: a name and an Ed25519 public key in base64.
type Signer struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
}

// Load reads and checks the settings file at path as Parse does, and also checks that the
// TLS files can be loaded. Relative paths of TLS files are relative to the process's working
// directory.
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

// Self returns the node's own instance record, without an incarnation.
func (s *Settings) Self() model.Instance {
	return model.Instance{ID: s.Instance, Service: s.Service, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress}
}

// TrustedSigners returns the signers whose bundles the node accepts.
func (s *Settings) TrustedSigners() []bundle.Signer {
	out := make([]bundle.Signer, 0, len(s.Signers))
	for _, signer := range s.Signers {
		// Parse has checked the key; a key that does not decode is ignored.
		if key, err := keys.DecodePublic(signer.Key); err == nil {
			out = append(out, bundle.Signer{Name: signer.Name, Key: key})
		}
	}
	return out
}

// Level returns the log level; it is info if LogLevel is not valid.
func (s *Settings) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// StopTimeout returns the maximum duration of a planned stop, less the margin.
func (s *Settings) StopTimeout() time.Duration {
	return milliseconds(s.StopTimeoutMs - s.StopMarginMs)
}

// MemoryLimit returns the memory limit of the process in bytes; 0 means no limit.
func (s *Settings) MemoryLimit() int64 { return s.MemoryLimitMb << 20 }

// bodyMemoryDivisor divides the process's memory limit to give the memory for reserved
// request bodies. The heap has half of the limit, and bodies get a quarter of the heap.
const bodyMemoryDivisor = 8

// BodyMemory returns the memory for reserved request bodies in bytes; 0 means the default.
func (s *Settings) BodyMemory() int64 { return s.MemoryLimit() / bodyMemoryDivisor }

// LeaveGrace returns how long callers' requests are accepted after the node has announced
// that it is leaving.
func (s *Settings) LeaveGrace() time.Duration { return milliseconds(s.LeaveGraceMs) }

// LocalDelay returns the initial estimate of the one-way delay within the data centre.
func (s *Settings) LocalDelay() time.Duration { return microseconds(s.LocalDelayUs) }

// RemoteDelay returns the initial estimate of the one-way delay to another data centre.
func (s *Settings) RemoteDelay() time.Duration { return microseconds(s.RemoteDelayUs) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Log logs a summary of the settings, without keys.
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
		Str("peer_security", s.TLS.mode()).
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
