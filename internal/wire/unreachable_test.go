package wire

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

func TestUnreachableHeaderRoundTrip(t *testing.T) {
	want := []model.InstanceID{"10.1.0.4", "a, b", "w-3"}
	s, err := EncodeUnreachable(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeUnreachable(s)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestTooManyUnreachableOwnersAreRefused(t *testing.T) {
	var ids []model.InstanceID
	for i := range MaxUnreachable + 1 {
		ids = append(ids, model.InstanceID(fmt.Sprint("w", i)))
	}
	s, err := EncodeUnreachable(ids)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"too many": s, "no base64": "%", "too long": strings.Repeat("a", 2*maxUnreachableBytes)} {
		if _, err := DecodeUnreachable(value); !errors.Is(err, ErrBadUnreachable) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
