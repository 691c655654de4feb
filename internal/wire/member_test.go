package wire

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

func TestMembershipMessageRoundTrip(t *testing.T) {
	record := MemberRecord{
		ID: "worker-1", Service: "payout", DataCentre: "kigali-1", PeerAddress: "10.0.0.1:7001",
		Incarnation: 1_700_000_000_000_000, State: model.StateLeaving, Counter: 3, ListRevision: 9, ListStatus: ListLeaving,
	}
	suspicion := Suspicion{Target: "worker-1", Incarnation: 7, Counter: 3, Observer: "worker-2"}
	ages := ListAges{Attempt: AgeOf(time.Second), Confirmed: AgeOf(time.Minute), Revision: 9}
	for _, m := range []Message{
		Heartbeat{Clock: 5, Echo: 4, List: ages},
		ListBeacon{Echo: 4, List: ages},
		Rumours{Records: []MemberRecord{record}, Suspicions: []Suspicion{suspicion}},
		SnapshotRequest{After: "worker-1"},
		SnapshotChunk{After: "worker-1", Records: []MemberRecord{record}, Last: true, Partial: true},
		Digest{Root: math.MaxUint64},
		DigestBuckets{Hashes: make([]byte, 4*DigestBucketCount)},
		BucketSummaries{Buckets: []BucketSummary{{Index: 255, Entries: []byte{1, 2, 3, 4, 5, 6, 7, 8}}}},
		RecordRequest{Buckets: []RecordRequestBucket{{Index: 255, IDs: []byte{1, 2, 3, 4}}}},
		Probe{Target: "worker-1", PeerAddress: "10.0.0.1:7001", Incarnation: 7, Counter: 3},
		ProbeReply{Target: "worker-1", Incarnation: 7},
		LinkReject{Alternatives: []MemberRecord{record}},
	} {
		data, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, got); diff != "" {
			t.Errorf("%T: %s", m, diff)
		}
	}
}

func TestAgeRoundsUpAndIsBounded(t *testing.T) {
	const never = time.Duration(math.MaxInt64)
	cases := []struct{ in, want time.Duration }{
		{0, 0},
		{-time.Second, 0},
		{time.Nanosecond, time.Millisecond},
		{1500 * time.Microsecond, 2 * time.Millisecond},
		{time.Hour, time.Hour},
		{never, never},
	}
	for _, c := range cases {
		if got := AgeOf(c.in).Duration(); got != c.want {
			t.Errorf("age of %s came back as %s, want %s", c.in, got, c.want)
		}
	}
	if got := Age(math.MaxUint64).Duration(); got <= 0 || got == never {
		t.Errorf("the greatest age came back as %s", got)
	}
}
