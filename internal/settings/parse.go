package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/keys"
	"gypsumstand/internal/tomlfile"
)

// Defaults of absent keys.
const (
	defaultLogLevel           = "info"
	defaultStopTimeoutMs      = 30_000
	defaultLeaveGraceMs       = 2000
	defaultMaxHeaderBytes     = 32 << 10
	defaultMaxIdleConnections = 256
	defaultLocalDelayUs       = 100
	defaultRemoteDelayUs      = 1000
	defaultPlatformTimeoutMs  = 1000
	defaultRequestLogLines    = 200
	defaultRetryRatio         = 0.2
	defaultRetryExtra         = 50
)

// Limits of the file and of its values.
const (
	maxFileBytes         = 1 << 20
	minStopTimeoutMs     = 100
	maxStopTimeoutMs     = 3_600_000
	minHeaderBytes       = 4 << 10
	maxHeaderBytes       = 1 << 20
	maxIdleConnections   = 1 << 16
	maxDelayUs           = 10_000_000
	maxPlatformTimeoutMs = 60_000
	maxPeers             = 1000
	maxStopMarginMs      = 10_000
	maxMemoryLimitMb     = 1 << 20
	maxRetryExtra        = 1e6
	maxWarmingRatio      = 100
	maxWarmingExtra      = 1e4
	maxRequestLogLines   = 100_000
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Parse decodes settings from TOML, sets defaults and checks them. file names the input in
// findings. The error is a finding.List with every finding.
func Parse(file string, data []byte) (*Settings, error) { return parse(file, data, check) }

// parse implements Parse and Load, which differ in their checks.
func parse(file string, data []byte, check func(*Settings, *tomlfile.Document)) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, finding.List{{File: file, Message: fmt.Sprintf("%d bytes are over the bound of %d", len(data), maxFileBytes)}}
	}
	s := defaultSettings()
	doc := tomlfile.Decode(file, data, s)
	if doc.HasSyntaxError() {
		return nil, doc.Err()
	}
	check(s, doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func defaultSettings() *Settings {
	return &Settings{
		LogLevel:           defaultLogLevel,
		RequestLogLines:    defaultRequestLogLines,
		StopTimeoutMs:      defaultStopTimeoutMs,
		LeaveGraceMs:       defaultLeaveGraceMs,
		MaxHeaderBytes:     defaultMaxHeaderBytes,
		MaxIdleConnections: defaultMaxIdleConnections,
		LocalDelayUs:       defaultLocalDelayUs,
		RemoteDelayUs:      defaultRemoteDelayUs,
		Platform:           Platform{TimeoutMs: defaultPlatformTimeoutMs},
		Directory:          Directory{RetryRatio: defaultRetryRatio, RetryExtra: defaultRetryExtra, WarmingRatio: 1},
	}
}

// check adds a finding to doc for each invalid value in s.
func check(s *Settings, doc *tomlfile.Document) {
	doc.CheckName("instance", string(s.Instance))
	doc.CheckName("service", string(s.Service))
	doc.CheckName("data_centre", string(s.DataCentre))
	checkAddresses(s, doc)
	checkPlaces(s, doc)
	checkPeers(s, doc)
	checkSigners(s, doc)
	checkTLS(&s.TLS, doc)
	checkLimits(s, doc)
	if !slices.Contains(logLevels, s.LogLevel) {
		doc.Add("log_level", "%q is not one of %s", s.LogLevel, strings.Join(logLevels, ", "))
	}
}

func checkAddresses(s *Settings, doc *tomlfile.Document) {
	addresses := addressChecker{doc: doc}
	addresses.check("caller_address", s.CallerAddress)
	addresses.check("peer_address", s.PeerAddress)
	addresses.check("operator_address", s.OperatorAddress)
	addresses.check("worker_address", s.WorkerAddress)
	checkConnectable(doc, "peer_address", s.PeerAddress)
	checkConnectable(doc, "worker_address", s.WorkerAddress)
	checkDirectory(&s.Directory, doc)
	if s.Directory.Address == "" {
		checkPlatform(s, doc)
	}
}

func checkPlaces(s *Settings, doc *tomlfile.Document) {
	dataCentres := map[string]string{}
	for i, p := range s.Places {
		key := fmt.Sprintf("place[%d]", i)
		doc.CheckName(key+".data_centre", string(p.DataCentre))
		doc.CheckName(key+".region", string(p.Region))
		checkUnique(doc, dataCentres, key+".data_centre", string(p.DataCentre))
	}
}

func checkDirectory(d *Directory, doc *tomlfile.Document) {
	if d.Address != "" {
		doc.CheckAddress("directory.address", d.Address)
		checkConnectable(doc, "directory.address", d.Address)
	}
	doc.CheckFloatRange("directory.retry_ratio", d.RetryRatio, 0, 1)
	doc.CheckFloatRange("directory.retry_extra", d.RetryExtra, 0, maxRetryExtra)
	doc.CheckFloatRange("directory.warming_ratio", d.WarmingRatio, 1, maxWarmingRatio)
	doc.CheckFloatRange("directory.warming_extra", d.WarmingExtra, 0, maxWarmingExtra)
}

func checkPlatform(s *Settings, doc *tomlfile.Document) {
	doc.CheckAddress("platform.config_address", s.Platform.ConfigAddress)
	checkConnectable(doc, "platform.config_address", s.Platform.ConfigAddress)
	doc.CheckAddress("platform.list_address", s.Platform.ListAddress)
	checkConnectable(doc, "platform.list_address", s.Platform.ListAddress)
	doc.CheckIntRange("platform.timeout_ms", s.Platform.TimeoutMs, 1, maxPlatformTimeoutMs)
}

// addressChecker finds invalid addresses of the node and its worker and conflicts between
// them.
type addressChecker struct {
	doc       *tomlfile.Document
	keys      []string
	addresses []netip.AddrPort
}

func (c *addressChecker) check(key, value string) {
	addr, ok := c.doc.CheckAddress(key, value)
	if !ok {
		return
	}
	for i, other := range c.addresses {
		if addressesConflict(addr, other) {
			c.doc.Add(key, "%s collides with %s %s", addr, c.keys[i], other)
		}
	}
	c.keys = append(c.keys, key)
	c.addresses = append(c.addresses, addr)
}

// addressesConflict reports whether two listeners cannot use these addresses at once.
func addressesConflict(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkConnectable reports an address that no client can connect to.
func checkConnectable(doc *tomlfile.Document, key, value string) {
	addr, err := netip.ParseAddrPort(value)
	if err == nil && (addr.Addr().IsUnspecified() || addr.Addr().IsMulticast()) {
		doc.Add(key, "%s must not be a wildcard or multicast address", value)
	}
}

func checkPeers(s *Settings, doc *tomlfile.Document) {
	if len(s.Peers) > maxPeers {
		doc.Add("peers", "%d peers are over the bound of %d", len(s.Peers), maxPeers)
	}
	for i, peer := range s.Peers {
		if _, ok := doc.CheckAddress("peers", peer); !ok {
			continue
		}
		checkConnectable(doc, "peers", peer)
		if slices.Contains(s.Peers[:i], peer) {
			doc.Add("peers", "%s is listed twice", peer)
		}
	}
}

func checkSigners(s *Settings, doc *tomlfile.Document) {
	if len(s.Signers) == 0 && s.Directory.Address == "" {
		doc.Add("signer", "missing: without a trusted signer no bundle is accepted")
	}
	names, publicKeys := map[string]string{}, map[string]string{}
	for i, signer := range s.Signers {
		key := fmt.Sprintf("signer[%d]", i)
		doc.CheckName(key+".name", signer.Name)
		checkUnique(doc, names, key+".name", signer.Name)
		if !doc.Require(key + ".key") {
			continue
		}
		if _, err := keys.DecodePublic(signer.Key); err != nil {
			doc.Add(key+".key", "%v", err)
			continue
		}
		checkUnique(doc, publicKeys, key+".key", signer.Key)
	}
}

// checkUnique reports a value that another key already has.
func checkUnique(doc *tomlfile.Document, keyByValue map[string]string, key, value string) {
	if value == "" {
		return
	}
	first, found := keyByValue[value]
	if !found {
		keyByValue[value] = key
		return
	}
	line, _ := doc.Position(first)
	doc.Add(key, "is the same as %s on line %d", first, line)
}

func checkTLS(t *TLS, doc *tomlfile.Document) {
	if !doc.Has("tls") {
		return
	}
	for _, f := range []struct{ key, value string }{
		{"tls.certificate", t.Certificate}, {"tls.key", t.Key}, {"tls.authority", t.Authority},
	} {
		if f.value == "" {
			doc.Add(f.key, "missing: certificate, key and authority must be set together")
		}
	}
}

// checkTLSFiles reports TLS files that cannot be loaded.
func checkTLSFiles(t *TLS, doc *tomlfile.Document) {
	if t.Certificate != "" && t.Key != "" {
		if _, err := t.loadPair(); err != nil {
			doc.Add("tls.certificate", "%v", err)
		}
	}
	if t.Authority != "" {
		if _, err := t.loadAuthority(); err != nil {
			doc.Add("tls.authority", "%v", err)
		}
	}
}

func checkLimits(s *Settings, doc *tomlfile.Document) {
	doc.CheckIntRange("stop_timeout_ms", s.StopTimeoutMs, minStopTimeoutMs, maxStopTimeoutMs)
	doc.CheckIntRange("leave_grace_ms", s.LeaveGraceMs, 0, maxStopTimeoutMs)
	doc.CheckIntRange("stop_margin_ms", s.StopMarginMs, 0, maxStopMarginMs)
	if s.StopMarginMs >= s.StopTimeoutMs && s.StopMarginMs > 0 {
		doc.Add("stop_margin_ms", "%d must be under stop_timeout_ms of %d", s.StopMarginMs, s.StopTimeoutMs)
	}
	doc.CheckIntRange("request_log_lines", int64(s.RequestLogLines), 0, maxRequestLogLines)
	doc.CheckIntRange("memory_limit_mb", s.MemoryLimitMb, 0, maxMemoryLimitMb)
	if s.LeaveGraceMs >= s.StopTimeoutMs {
		key := "leave_grace_ms"
		if !doc.Has(key) {
			key = "stop_timeout_ms"
		}
		doc.Add(key, "leave_grace_ms of %d must be under stop_timeout_ms of %d", s.LeaveGraceMs, s.StopTimeoutMs)
	}
	doc.CheckIntRange("max_header_bytes", int64(s.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes)
	doc.CheckIntRange("max_idle_connections", int64(s.MaxIdleConnections), 1, maxIdleConnections)
	doc.CheckIntRange("local_delay_us", s.LocalDelayUs, 1, maxDelayUs)
	doc.CheckIntRange("remote_delay_us", s.RemoteDelayUs, 1, maxDelayUs)
}
