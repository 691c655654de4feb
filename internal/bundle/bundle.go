// Package bundle parses, checks, signs, compares and indexes configuration bundles:
// versioned TOML texts with the services, routes, classes and tenants. A named signer
// signs a bundle's exact bytes (Ed25519, RFC 8032); the signature is verified before
// the text is parsed. A checked bundle is immutable and safe for concurrent readers.
package bundle

import (
	"time"

	"gypsumstand/internal/model"
)

// MaxBytes is the maximum size of a signed bundle and of its text, in bytes: the
// platform stores values of up to 1 MiB.
const MaxBytes = 1 << 20

// Bundle is one checked version of a configuration bundle. Readers must not modify it.
type Bundle struct {
	// Name identifies the bundle; versions are ordered within one name.
	Name model.BundleName `toml:"name"`
	// Version increases with every signed change, from 1.
	Version uint64 `toml:"version"`
	// Comment is free text for operators.
	Comment   string    `toml:"comment"`
	Measuring Measuring `toml:"measuring"`
	Retry     Retry     `toml:"retry"`
	Admission Admission `toml:"admission"`
	Callers   Callers   `toml:"callers"`
	Classes   []Class   `toml:"class"`
	Tenants   []Tenant  `toml:"tenant"`
	Services  []Service `toml:"service"`
}

// VersionID returns the bundle's name and version.
func (b *Bundle) VersionID() model.BundleVersion {
	return model.BundleVersion{Name: b.Name, Version: b.Version}
}

// Measuring limits the load that health polls and probes put on upstreams.
type Measuring struct {
	// PerUpstreamPerSecond is the maximum rate of measuring messages to one upstream, in
	// messages per second: the owner's polls of its worker and the entry nodes' probes
	// together. Default 5, over 0 and at most 1000.
	PerUpstreamPerSecond float64 `toml:"per_upstream_per_second"`
	// PollShare is the share of that rate reserved for the owner's polls of its worker.
	// Default 0.5, from 0.1 to 1.
	PollShare float64 `toml:"poll_share"`
}

// Retry limits extra attempts: retries and hedges.
type Retry struct {
	// PerPath is the maximum number of extra attempts that one caller's request may cause
	// in all hops below it together. Default 2, from 0 to 10.
	PerPath int `toml:"per_path"`
	// Ratio is the maximum ratio of extra attempts to first attempts that one entry node
	// makes for one service over time. Default 0.2, from 0 to 1.
	Ratio float64 `toml:"ratio"`
	// HedgeAfterQuantile is the latency quantile of the class after which an idempotent
	// request is hedged. Default 0: requests are never hedged. From 0 to 0.9999.
	HedgeAfterQuantile float64 `toml:"hedge_after_quantile"`
	// FleetExtra is the maximum number of extra arrivals at a service's workers that all
	// entry nodes together may cause in ten seconds, in addition to the ratio; each node
	// enforces its part. Default 0: each node enforces only the ratio. From 0 to 1000000.
	FleetExtra float64 `toml:"fleet_extra"`
	// Moves is the maximum number of owners that may reject a request because they cannot
	// start it at once, before it queues at one of them. Default 0: it queues at the owner
	// that was picked first. From 0 to 10.
	Moves int `toml:"moves"`
}

// Admission switches on decisions for services that are short of slots. All are off by
// default.
type Admission struct {
	// InheritPriority gives a call that a worker makes the priority of the request that the
	// worker runs for it, in place of its class's.
	InheritPriority bool `toml:"inherit_priority"`
	// ByOutcome refuses a part of a class's requests where they enter, while most of them
	// are refused or fail because calls of their runs are refused.
	ByOutcome bool `toml:"by_outcome"`
	// RelocateQueued lets an owner give up a queued request, which has not run, when another
	// owner is expected to answer it much sooner.
	RelocateQueued bool `toml:"relocate_queued"`
}

// Callers limits callers' connections and request headers.
type Callers struct {
	// IdleTimeoutMs is how long an idle connection stays open, in milliseconds.
	// Default 60000, from 100 to 3600000.
	IdleTimeoutMs int64 `toml:"idle_timeout_ms"`
	// HeaderTimeoutMs is how long reading a request's header may take, in milliseconds.
	// Default 5000, from 100 to 3600000.
	HeaderTimeoutMs int64 `toml:"header_timeout_ms"`
	// MaxHeaderBytes is the maximum size of a request's header, in bytes; it only lowers
	// the limit in the node's settings. Default 0: the node's limit. From 0 to 1048576.
	MaxHeaderBytes int `toml:"max_header_bytes"`
}

// IdleTimeout returns how long an idle connection stays open.
func (c *Callers) IdleTimeout() time.Duration {
	return time.Duration(c.IdleTimeoutMs) * time.Millisecond
}

// HeaderTimeout returns how long reading a request's header may take.
func (c *Callers) HeaderTimeout() time.Duration {
	return time.Duration(c.HeaderTimeoutMs) * time.Millisecond
}

// MaxPriority is the largest priority of a class.
const MaxPriority = 1000

// Class groups requests that share a worth and a deadline.
type Class struct {
	Name model.ClassName `toml:"name"`
	// Worth is the value of a response within its deadline, without a unit. Default 0, for
	// internal lookups. From 0 to 1000000.
	Worth float64 `toml:"worth"`
	// DeadlineMs is the deadline of requests that set none, in milliseconds. Required, from
	// 1 to 3600000.
	DeadlineMs int64 `toml:"deadline_ms"`
	// MaxDeadlineMs is the longest deadline that a request may set, in milliseconds.
	// Default: DeadlineMs. From DeadlineMs to 3600000.
	MaxDeadlineMs int64 `toml:"max_deadline_ms"`
	// Share is the guaranteed share of an upstream's slots; other classes may use it while
	// it is idle. The shares of a bundle's classes sum to at most 1. Default 0, from 0 to 1.
	Share float64 `toml:"share"`
	// Priority orders classes in an owner's queue: a smaller number is served first,
	// regardless of worth. Default 0, from 0 to 1000.
	Priority int `toml:"priority"`
	// ObjectiveMs is the latency up to which a response has its full worth, in
	// milliseconds. Default 0: the deadline. From 0 to 3600000.
	ObjectiveMs int64 `toml:"objective_ms"`
	// MaxAttempts is the maximum number of workers that one request may be sent to.
	// Default 0: only the retry budget limits them. From 0 to 100.
	MaxAttempts int `toml:"max_attempts"`
}

// Objective returns the latency up to which a response has its full worth.
func (c *Class) Objective() time.Duration {
	if c.ObjectiveMs <= 0 {
		return c.Deadline()
	}
	return time.Duration(c.ObjectiveMs) * time.Millisecond
}

// Deadline returns the deadline of requests that set none.
func (c *Class) Deadline() time.Duration { return time.Duration(c.DeadlineMs) * time.Millisecond }

// MaxDeadline returns the longest deadline that a request may set.
func (c *Class) MaxDeadline() time.Duration {
	return time.Duration(c.MaxDeadlineMs) * time.Millisecond
}

// Tenant is a caller's account with its own limits.
type Tenant struct {
	Name model.TenantName `toml:"name"`
	// RatePerSecond is the tenant's maximum request rate to one service in the whole fleet,
	// in requests per second. Each owner enforces its part. Default 0: no limit. From 0 to
	// 1000000.
	RatePerSecond float64 `toml:"rate_per_second"`
	// Burst is the size of the rate limit's token bucket, in requests; it requires
	// RatePerSecond. Default: one second of RatePerSecond, at least 1. From 1 to 1000000.
	Burst float64 `toml:"burst"`
	// MaxShare is the maximum share of one upstream's slots that the tenant may hold while
	// requests of other tenants wait. Default 1, over 0 and at most 1.
	MaxShare float64 `toml:"max_share"`
	// Regions are the regions in which the tenant's requests may run. Default: any. If the
	// route names regions too, a request may run only in those that both name.
	Regions []model.RegionName `toml:"regions"`
}

// Service is a set of interchangeable upstreams and the routes to it.
type Service struct {
	Name model.ServiceName `toml:"name"`
	// Slots is the number of requests that one upstream runs at once. Required, from 1 to
	// 65535.
	Slots int `toml:"slots"`
	// SlotShare is the share of a worker's slots that its owner uses at once. Below 1 it
	// protects workers that slow down when nearly all their slots are in use. Default 1,
	// from 0.1 to 1.
	SlotShare float64 `toml:"slot_share"`
	// Connections is the number of connections that one upstream accepts. Required, from
	// Slots to 65535.
	Connections int `toml:"connections"`
	// QueueLimit is the maximum number of requests queued at one owner; 0 disables
	// queueing. Default: 4 x Slots. From 0 to 65535.
	QueueLimit int `toml:"queue_limit"`
	// BodyLimitBytes is the maximum size of a request body, in bytes. Default 1 MiB, from 1
	// byte to 64 MiB.
	BodyLimitBytes int64 `toml:"body_limit_bytes"`
	// ResponseLimitBytes is the maximum size of a response body, in bytes; a longer one is
	// broken off. Default 64 MiB, from 1 byte to 1 TiB.
	ResponseLimitBytes int64 `toml:"response_limit_bytes"`
	// WarmupMs is the slow start of a cold worker, in milliseconds: its limit of requests
	// in flight ramps up over this time. Default 2000, from 1 to 600000.
	WarmupMs int64 `toml:"warmup_ms"`
	// WarmingPerSecond is the maximum request rate to a worker that reports that it is
	// warming, in requests per second: just after its start, a much higher rate crashes
	// it. Default 0: no separate limit. From 0 to 1000000.
	WarmingPerSecond float64 `toml:"warming_per_second"`
	// WarmingMost is the maximum number of requests to a warming worker within any one
	// second, however late its owner learns that it is warming. It requires
	// WarmingPerSecond. Default: two seconds of WarmingPerSecond. From 1 to 10000.
	WarmingMost int `toml:"warming_most"`
	// WarmingMs is how long a worker is warming after its start, in milliseconds.
	// Default 2000, from 1 to 600000.
	WarmingMs int64 `toml:"warming_ms"`
	// KeyMemoryMs is how long an owner remembers the id of a finished non-idempotent
	// request, in milliseconds. Default 120000. From the longest deadline of the classes
	// whose requests may be non-idempotent to 86400000.
	KeyMemoryMs int64 `toml:"key_memory_ms"`
	// RequireEcho rejects a response without the attempt's id (Gypsum-Attempt), the only
	// proof that the response belongs to this attempt and not to another one. Default
	// false: a wrong id is rejected, a missing one is accepted.
	RequireEcho bool `toml:"require_echo"`
	// HealthPath is the worker's endpoint that its owner polls within the measuring
	// budget. Default empty: the owner only opens a connection. There is no path for the
	// load, because the owner counts the requests in flight itself.
	HealthPath string `toml:"health_path"`
	// Upstreams override the limits of single instances.
	Upstreams []Upstream `toml:"upstream"`
	Routes    []Route    `toml:"route"`
}

// UsableSlots returns how many of a worker's slots its owner uses at once, at least one.
func (s *Service) UsableSlots(slots int) int {
	if s.SlotShare <= 0 || s.SlotShare >= 1 {
		return slots
	}
	return max(1, int(float64(slots)*s.SlotShare))
}

// Warmup returns the length of a cold worker's slow start.
func (s *Service) Warmup() time.Duration { return time.Duration(s.WarmupMs) * time.Millisecond }

// Warming returns how long a worker is warming after its start.
func (s *Service) Warming() time.Duration { return time.Duration(s.WarmingMs) * time.Millisecond }

// KeyMemory returns how long the id of a finished non-idempotent request is remembered.
func (s *Service) KeyMemory() time.Duration {
	return time.Duration(s.KeyMemoryMs) * time.Millisecond
}

// Upstream overrides the limits of one instance; a field of 0 keeps the service's limit.
type Upstream struct {
	Instance    model.InstanceID `toml:"instance"`
	Slots       int              `toml:"slots"`
	Connections int              `toml:"connections"`
}

// Route matches requests by host, path and method and sends them to its service.
type Route struct {
	// Host limits the route to requests for this host, given without a port; empty means
	// any host. Routes of any host are tried only when no route of the request's host
	// matches.
	Host string `toml:"host"`
	// Path is a path prefix that starts with "/" and matches whole segments only. The
	// longest matching prefix wins; at equal length, a route with methods wins.
	Path string `toml:"path"`
	// Methods limits the route to these methods; empty means all methods.
	Methods []string        `toml:"methods"`
	Class   model.ClassName `toml:"class"`
	// Idempotent, when set, overrides RFC 9110's default for the method.
	Idempotent *bool `toml:"idempotent"`
	// LargeBodies reports that the route's requests carry bodies that take long to send, such
	// as uploads: an owner reserves room before a body is sent to it. Default false.
	LargeBodies bool `toml:"large_bodies"`
	// Weight makes the route a part of a split: routes of several services with the same
	// host, path and methods get requests in proportion to their weights, even when one of
	// the services is full. Default 0: the route is not split. From 0 to 1000000.
	Weight int `toml:"weight"`
	// Regions are the regions in which the route's requests may run and to whose nodes
	// their bodies may be sent. Default: any.
	Regions []model.RegionName `toml:"regions"`
}

// Class returns the class called name, or nil.
func (b *Bundle) Class(name model.ClassName) *Class {
	for i := range b.Classes {
		if b.Classes[i].Name == name {
			return &b.Classes[i]
		}
	}
	return nil
}

// Service returns the service called name, or nil.
func (b *Bundle) Service(name model.ServiceName) *Service {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i]
		}
	}
	return nil
}

// Tenant returns the tenant called name, or nil.
func (b *Bundle) Tenant(name model.TenantName) *Tenant {
	for i := range b.Tenants {
		if b.Tenants[i].Name == name {
			return &b.Tenants[i]
		}
	}
	return nil
}
