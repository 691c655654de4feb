package model

import (
	"net/url"
	"strconv"
	"strings"
	"testing"
)

// asked is a request's fields as a fingerprint sees them.
type asked struct{ method, host, target, tenant, body string }

func (a asked) fingerprint(t *testing.T) Fingerprint {
	t.Helper()
	u, err := url.Parse(a.target)
	if err != nil {
		t.Fatal(err)
	}
	h := NewFingerprintHash(a.method, a.host, u, TenantName(a.tenant), int64(len(a.body)))
	_, _ = h.Write([]byte(a.body))
	return h.Sum()
}

func TestRequestsThatDifferAreToldApart(t *testing.T) {
	all := []asked{
		{"GET", "", "/a", "", ""},
		{"POST", "", "/a", "", ""},
		{"GET", "h", "/a", "", ""},
		{"GET", "", "/a?q=1", "", ""},
		{"GET", "", "/a", "t", ""},
		{"GET", "", "/a", "", "t"},
		{"GET", "", "/a/", "", ""},
		// The same bytes in other fields.
		{"GETh", "", "/a", "", ""},
		{"GET", "", "/a?", "q=1", ""},
		{"GET", "", "/%61", "", ""},
	}
	seen := map[Fingerprint]asked{}
	for _, a := range all {
		f := a.fingerprint(t)
		if other, taken := seen[f]; taken {
			t.Errorf("%v is taken for %v", a, other)
		}
		seen[f] = a
	}
}

func TestABodyMayComeInPieces(t *testing.T) {
	body := strings.Repeat("x", 1000)
	whole := asked{"POST", "", "/a", "", body}.fingerprint(t)
	h := NewFingerprintHash("POST", "", &url.URL{Path: "/a"}, "", int64(len(body)))
	for i := range body {
		_, _ = h.Write([]byte(body[i : i+1]))
	}
	if got := h.Sum(); got != whole {
		t.Errorf("%s in pieces, %s whole", got, whole)
	}
	if whole.IsZero() || len(whole.String()) != 32 {
		t.Errorf("fingerprint %s", whole)
	}
}

// BenchmarkFingerprint is what a request costs while any is suspect: a lookup, and a payout
// with a body of 512 bytes.
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
