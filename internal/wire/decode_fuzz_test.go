package wire

import (
	"reflect"
	"testing"

	"gypsumstand/internal/model"
)

// FuzzDecode: whatever a peer sends, Decode returns; what it accepts encodes and
// reads back as the same message.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		Hello{Instance: model.Instance{ID: "n0", PeerAddress: "10.0.0.1:7400"}},
		Resolve{Attempt: model.AttemptID{Entry: "n0", Incarnation: 1, Sequence: 2}, Request: "r"},
		KeyResult{Request: "r", Outcome: model.OutcomeNotRun},
		Rumours{Records: []MemberRecord{{ID: "n1", State: model.StateLeaving}}, Suspicions: []Suspicion{{Target: "n2"}}},
		LoadReply{Report: model.LoadReport{Owner: "n1", Clock: 5}},
	} {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("accepted message does not encode: %v", err)
		}
		back, err := Decode(again)
		if err != nil || !sameMessage(m, back) {
			t.Fatalf("%#v, then %#v, error %v", m, back, err)
		}
	})
}

// sameMessage compares by encoding, since an absent list and an empty one are
// the same to a receiver.
func sameMessage(a, b Message) bool {
	if reflect.TypeOf(a) != reflect.TypeOf(b) {
		return false
	}
	first, errA := Encode(a)
	second, errB := Encode(b)
	return errA == nil && errB == nil && string(first) == string(second)
}

// FuzzDecodeSuspects: whatever a peer sends, every reference of what is accepted names an
// end, and the bounds hold.
func FuzzDecodeSuspects(f *testing.F) {
	news := SuspectUpdate{
		From: "n1", Service: "ledger", Compare: true, Digests: make([]uint64, SuspectBuckets),
		Crashes: []SuspectCrash{{ID: 7, Owner: "n1", AgeMs: 5}},
		Records: []Suspect{{Content: model.Fingerprint{1}, Cleared: 1, Crashes: []CrashRef{NewCrashRef(0, true, false)}}},
	}
	data, err := EncodeSuspects(&news)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		news, err := DecodeSuspects(data)
		if err != nil {
			return
		}
		if len(news.Records) > MaxSuspects {
			t.Fatalf("%d records", len(news.Records))
		}
		for _, r := range news.Records {
			for _, ref := range r.Crashes {
				_ = news.Crashes[ref.Index()]
			}
		}
	})
}

func TestAReferenceToAnEndKeepsWhatItSays(t *testing.T) {
	for _, doubted := range []bool{false, true} {
		for _, trial := range []bool{false, true} {
			if r := NewCrashRef(511, doubted, trial); r.Index() != 511 || r.AlreadySuspect() != doubted || r.Trial() != trial {
				t.Errorf("%v, %v became %d, %v, %v", doubted, trial, r.Index(), r.AlreadySuspect(), r.Trial())
			}
		}
	}
}

// A message of the greatest size that is sent is within the bound that receivers set.
func TestTheLargestNewsOfSuspectsFits(t *testing.T) {
	news := SuspectUpdate{From: model.InstanceID(make([]byte, 64)), Digests: make([]uint64, SuspectBuckets)}
	for i := range MaxSuspects {
		s := Suspect{Content: model.Fingerprint{byte(i)}, AgeMs: 1 << 31}
		for k := range MaxSuspectCrashes {
			s.Crashes = append(s.Crashes, NewCrashRef(i*MaxSuspectCrashes+k, true, true))
			news.Crashes = append(news.Crashes, SuspectCrash{ID: 1 << 63, Owner: model.InstanceID(make([]byte, 64)), AgeMs: 1 << 31})
		}
		news.Records = append(news.Records, s)
	}
	data, err := EncodeSuspects(&news)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeSuspects(data); err != nil {
		t.Errorf("%d bytes: %v", len(data), err)
	}
}
