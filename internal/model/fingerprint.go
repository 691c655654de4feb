package model

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/url"
)

// Fingerprint tells requests apart by what their callers ask for: method, path with its
// query, tenant and body, and the host where the route is for that host only. The id, the
// key and the entry of a request are no part of it, so that every sending of one request has
// the same. The zero value stands for a request of which it is not known.
type Fingerprint [16]byte

// String returns f in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IsZero reports whether f stands for an unknown request.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// FingerprintHash makes a request's fingerprint. It is a cryptographic hash, so that no
// caller can make a request that is taken for another one's. Every field is preceded by
// its length, so that none can be moved into the next.
type FingerprintHash struct{ sum hash.Hash }

// NewFingerprintHash begins the fingerprint of a request with a body of that length, in
// bytes; the body is then written to it. host is empty for a route for any host.
func NewFingerprintHash(method, host string, u *url.URL, tenant TenantName, length int64) FingerprintHash {
	head := make([]byte, 0, usualHead)
	for _, field := range [...]string{method, host, u.EscapedPath(), u.RawQuery, string(tenant)} {
		head = binary.BigEndian.AppendUint64(head, uint64(len(field)))
		head = append(head, field...)
	}
	head = binary.BigEndian.AppendUint64(head, uint64(max(length, 0)))
	h := FingerprintHash{sha256.New()}
	// A hash takes every write.
	_, _ = h.sum.Write(head)
	return h
}

// NewFingerprint returns the fingerprint of a request whose body is here. length is what the
// caller says of the body, negative where it does not say.
func NewFingerprint(method, host string, u *url.URL, tenant TenantName, length int64, body []byte) Fingerprint {
	h := NewFingerprintHash(method, host, u, tenant, length)
	// A hash takes every write.
	_, _ = h.Write(body)
	return h.Sum()
}

// usualHead is room for the fields of most requests, in bytes.
const usualHead = 256

// Write implements io.Writer for a part of the body.
func (h FingerprintHash) Write(p []byte) (int, error) { return h.sum.Write(p) }

// Sum returns the fingerprint of what was written so far.
func (h FingerprintHash) Sum() Fingerprint {
	var f Fingerprint
	copy(f[:], h.sum.Sum(nil))
	return f
}
