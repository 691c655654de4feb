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
		Settle{Attempt: model.AttemptID{Entry: "n0", Incarnation: 1, Sequence: 2}, Request: "r"},
		KeyResult{Request: "r", Outcome: model.OutcomeNotRun},
		Rumours{Records: []MemberRecord{{ID: "n1", State: model.StateLeaving}}, Accusations: []Accusation{{Target: "n2"}}},
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
