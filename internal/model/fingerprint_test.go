package model

import (
	"net/url"
	"strconv"
	"strings"
	"testing"
)

// fingerprintInput is the content of a request that its fingerprint covers.
type fingerprintInput struct{ method, host, target, tenant, body string }

func (a fingerprintInput) fingerprint(t *testing.T) Fingerprint {
	t.Helper()
	u, err := url.Parse(a.target)
	if err != nil {
		t.Fatal(err)
	}
	h := NewFingerprintHash(a.method, a.host, u, TenantName(a.tenant), int64(len(a.body)))
	_, _ = h.Write([]byte(a.body))
	return h.Sum()
}

func TestFingerprintDiffersPerField(t *testing.T) {
	all := []fingerprintInput{
		{"GET", "", "/a", "", ""},
		{"POST", "", "/a", "", ""},
		{"GET", "h", "/a", "", ""},
		{"GET", "", "/a?q=1", "", ""},
		{"GET", "", "/a", "t", ""},
		{"GET", "", "/a", "", "t"},
		{"GET", "", "/a/", "", ""},
		// The same bytes as above, split differently between fields.
		{"GETh", "", "/a", "", ""},
		{"GET", "", "/a?", "q=1", ""},
		{"GET", "", "/%61", "", ""},
	}
	seen := map[Fingerprint]fingerprintInput{}
	for _, a := range all {
		f := a.fingerprint(t)
		if other, taken := seen[f]; taken {
			t.Errorf("%v and %v have the same fingerprint", a, other)
		}
		seen[f] = a
	}
}

func TestFingerprintIgnoresBodyChunking(t *testing.T) {
	body := strings.Repeat("x", 1000)
	full := fingerprintInput{"POST", "", "/a", "", body}.fingerprint(t)
	h := NewFingerprintHash("POST", "", &url.URL{Path: "/a"}, "", int64(len(body)))
	for i := range body {
		_, _ = h.Write([]byte(body[i : i+1]))
	}
	if got := h.Sum(); got != full {
		t.Errorf("fingerprint of a body in pieces is %s, of the full body %s", got, full)
	}
	if full.IsZero() || len(full.String()) != 32 {
		t.Errorf("fingerprint %s", full)
	}
}

// BenchmarkFingerprint measures the cost per request while there are suspect requests, by
// the size of the body in bytes: a lookup has none, a payout has 512.
func BenchmarkFingerprint(b *testing.B) {
	for _, body := range []int{0, 512, 64 << 10} {
		b.Run(strconv.Itoa(body), func(b *testing.B) {
			u := &url.URL{Path: "/vouchers/7", RawQuery: "of=9"}
			data := make([]byte, body)
			b.SetBytes(int64(body))
			b.ReportAllocs()
			for b.Loop() {
				h := NewFingerprintHash("POST", "vouchers.example", u, "t", int64(body))
				_, _ = h.Write(data)
				h.Sum()
			}
		})
	}
}
