package answer

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"gypsumstand/internal/model"
)

func drawRequest(t *rapid.T, name string) Request {
	return Request{
		ID:       model.RequestID(rapid.String().Draw(t, name+" id")),
		Target:   rapid.String().Draw(t, name+" target"),
		BodyHash: rapid.Uint64().Draw(t, name+" hash"),
	}
}

func TestCompleteResponsePasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t, "r")
		size := rapid.IntRange(0, 5000).Draw(t, "size")
		body := Make(r, size)
		if len(body) < size {
			t.Fatalf("%d bytes, want at least %d", len(body), size)
		}
		if err := Check(body, r); err != nil {
			t.Fatalf("complete response body: %v", err)
		}
	})
}

func TestEveryTruncationIsDetected(t *testing.T) {
	r := Request{ID: "id-1", Target: "/vouchers?n=1", BodyHash: 7}
	body := Make(r, 300)
	for n := range body {
		if err := Check(body[:n], r); !errors.Is(err, ErrTruncated) {
			t.Fatalf("cut at %d: %v, want ErrTruncated", n, err)
		}
	}
}

func TestEveryAlteredByteIsDetected(t *testing.T) {
	r := Request{ID: "id-1", Target: "/vouchers?n=1", BodyHash: 7}
	body := Make(r, 300)
	for i := range body {
		altered := bytes.Clone(body)
		altered[i] ^= 1
		if Check(altered, r) == nil {
			t.Fatalf("byte %d altered: no error", i)
		}
	}
}

func TestResponseToAnotherRequestIsDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRequest(t, "a"), drawRequest(t, "b")
		err := Check(Make(a, 100), b)
		same := a == b || b.ID == "" && a.Target == b.Target && a.BodyHash == b.BodyHash
		if !same && !errors.Is(err, ErrMismatch) {
			t.Fatalf("body of another request: %v, want ErrMismatch", err)
		}
	})
}

func TestForeignBodiesAreMalformed(t *testing.T) {
	long := append(Make(Request{Target: "/"}, 0), 'x')
	for _, body := range []string{"not found\n", "oops", magic + "x y z\n", magic + "-5 0 \"\" \"\"\n", string(long)} {
		if err := Check([]byte(body), Request{Target: "/"}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.40q: %v, want ErrMalformed", body, err)
		}
	}
}
