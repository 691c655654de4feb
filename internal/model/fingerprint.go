package model

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/url"
)

// Fingerprint identifies a request by its content: method, path with query, tenant and body,
// and the host where the route matches that host only. It doesn't cover the id, the caller's
// key or the entry node, so that every submission of one request has the same fingerprint.
// The zero value means that the fingerprint is not known.
type Fingerprint [16]byte

// String returns f in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IsZero reports whether f is the zero value: not known.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// FingerprintHash computes a request's fingerprint. It is a cryptographic hash, so that a
// caller cannot construct a request with the fingerprint of another one. Every field is
// preceded by its length, so that bytes cannot shift from one field into the next.
type FingerprintHash struct{ digest hash.Hash }

// NewFingerprintHash returns the hash of a request's head; the caller then writes the body
// to it. length is the announced length of the body in bytes, where a negative value counts
// as zero. host is empty for a route that matches any host.
func NewFingerprintHash(method, host string, u *url.URL, tenant TenantName, length int64) FingerprintHash {
	head := make([]byte, 0, typicalHeadBytes)
	for _, field := range [...]string{method, host, u.EscapedPath(), u.RawQuery, string(tenant)} {
		head = binary.BigEndian.AppendUint64(head, uint64(len(field)))
		head = append(head, field...)
	}
	head = binary.BigEndian.AppendUint64(head, uint64(max(length, 0)))
	h := FingerprintHash{sha256.New()}
	// Writing to a hash never fails.
	_, _ = h.digest.Write(head)
	return h
}

// NewFingerprint returns the fingerprint of a request whose body is fully buffered. length is
// the length that the caller announced, negative where it announced none.
func NewFingerprint(method, host string, u *url.URL, tenant TenantName, length int64, body []byte) Fingerprint {
	h := NewFingerprintHash(method, host, u, tenant, length)
	// Writing to a hash never fails.
	_, _ = h.Write(body)
	return h.Sum()
}

// typicalHeadBytes is a buffer size that holds the head of most requests.
const typicalHeadBytes = 256

// Write adds a part of the body; it never fails.
func (h FingerprintHash) Write(p []byte) (int, error) { return h.digest.Write(p) }

// Sum returns the fingerprint of the head and the body written so far.
func (h FingerprintHash) Sum() Fingerprint {
	var f Fingerprint
	copy(f[:], h.digest.Sum(nil))
	return f
}
