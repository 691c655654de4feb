// Package model holds the value types that every other package shares:
// identifiers, attempts, outcomes, refusals and load reports. It has no
// behaviour beyond formatting and parsing, and no dependency on other packages
// of this module.
package model

import (
	"fmt"
	"strconv"
	"strings"
)

// InstanceID names one instance of the fleet, as the platform publishes it.
type InstanceID string

// WorkerID names a worker. One that starts again may have another, or the same: lives of
// one id are told apart by WorkerIncarnation.
type WorkerID string

// ServiceName names a service of a bundle.
type ServiceName string

// DataCentre names a data centre.
type DataCentre string

// RegionName names a region: data centres between which requests without bounds of place
// may move.
type RegionName string

// ClassName names a request class of a bundle.
type ClassName string

// TenantName names a tenant of a bundle. Requests of tenants that no bundle
// names are counted under OtherTenant.
type TenantName string

// OtherTenant is the tenant of requests whose tenant no bundle names.
const OtherTenant TenantName = "other"

// BundleName names a bundle; versions are ordered per name.
type BundleName string

// RequestID identifies a caller's request. It is the caller's Idempotency-Key
// when one was sent, otherwise made by the entry node.
type RequestID string

// scopeSeparator parts a tenant from its request id. Neither holds it: ids are
// printable ASCII, names of tenants a part of that.
const scopeSeparator = "\x1f"

// ScopedRequestID returns the id under which a request is remembered by its home:
// the same key of two tenants is two requests. Tenants that no bundle names share
// one scope.
func ScopedRequestID(tenant TenantName, id RequestID) RequestID {
	if tenant == "" || tenant == OtherTenant {
		return id
	}
	return RequestID(tenant) + scopeSeparator + id
}

// Incarnation tells the lives of one instance apart; a restart takes a greater
// one. It is the wall-clock start time in microseconds since the Unix epoch,
// raised above any incarnation of the same instance that peers remember.
type Incarnation uint64

// AttemptID identifies one attempt to run a request at one owner. It is never
// reused: the sequence number grows within an incarnation of the entry node.
type AttemptID struct {
	Entry       InstanceID  `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Sequence    uint64      `cbor:"3,keyasint"`
}

// attemptIDParts is the number of slash-separated parts of an attempt id's text form.
const attemptIDParts = 3

// String returns the text form "entry/incarnation/sequence" that headers carry.
func (a AttemptID) String() string {
	return string(a.Entry) + "/" + strconv.FormatUint(uint64(a.Incarnation), 36) + "/" + strconv.FormatUint(a.Sequence, 36)
}

// IsZero reports whether a is the zero value, which identifies no attempt.
func (a AttemptID) IsZero() bool { return a == AttemptID{} }

// ParseAttemptID reads the text form that AttemptID.String writes.
func ParseAttemptID(s string) (AttemptID, error) {
	parts := strings.Split(s, "/")
	if len(parts) != attemptIDParts || parts[0] == "" {
		return AttemptID{}, fmt.Errorf("attempt id %q: want entry/incarnation/sequence", s)
	}
	inc, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("attempt id %q: incarnation: %w", s, err)
	}
	seq, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("attempt id %q: sequence: %w", s, err)
	}
	return AttemptID{Entry: InstanceID(parts[0]), Incarnation: Incarnation(inc), Sequence: seq}, nil
}

// BundleVersion names one version of one bundle.
type BundleVersion struct {
	Name    BundleName `cbor:"1,keyasint"`
	Version uint64     `cbor:"2,keyasint"`
}

// String returns "name@version".
func (v BundleVersion) String() string {
	return string(v.Name) + "@" + strconv.FormatUint(v.Version, 10)
}

// ParseBundleVersion reads the form that BundleVersion.String writes.
func ParseBundleVersion(s string) (BundleVersion, error) {
	name, version, ok := strings.Cut(s, "@")
	if !ok || name == "" {
		return BundleVersion{}, fmt.Errorf("bundle version %q: want name@version", s)
	}
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return BundleVersion{}, fmt.Errorf("bundle version %q: %w", s, err)
	}
	return BundleVersion{Name: BundleName(name), Version: n}, nil
}
