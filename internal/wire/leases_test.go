package wire

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

func TestLeasesRoundTrip(t *testing.T) {
	keys := make([]LeaseKey, MaxLeases)
	for i := range keys {
		keys[i] = NewLeaseKey(model.Fingerprint{byte(i), 255})
	}
	want := SuspectUpdate{From: "n1", Service: "ledger", Leases: keys, LeasesRunning: keys[:2], LeasesEnded: keys[:1]}
	data, err := EncodeSuspects(&want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeSuspects(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestMessageWithTooManyLeasesIsRejected(t *testing.T) {
	many := make([]LeaseKey, MaxLeases+1)
	for _, update := range []SuspectUpdate{{Leases: many}, {LeasesRunning: many}, {LeasesEnded: many}} {
		data, err := EncodeSuspects(&update)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeSuspects(data); err == nil {
			t.Errorf("%d, %d and %d leases were accepted", len(update.Leases), len(update.LeasesRunning), len(update.LeasesEnded))
		}
	}
}
