package registry

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/control"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
)

const validEntry = `{"id":"a","service":"s","data_centre":"k1","peer_address":"127.0.0.1:70","state":"live"}`

func TestDecodeListAcceptsUnknownFields(t *testing.T) {
	data := `{"revision":7,"full":false,"later":[1],"instances":[
		{"id":"a","service":"s","data_centre":"k1","peer_address":"[::1]:70","state":"leaving","rack":"r1"},
		{"id":"b","state":"gone"}]}`
	got, err := DecodeList("list", []byte(data), 3)
	if err != nil {
		t.Fatal(err)
	}
	want := control.ListRead{Revision: 7, Instances: []model.Instance{
		{ID: "a", Service: "s", DataCentre: "k1", PeerAddress: "[::1]:70", State: model.StateLeaving},
		{ID: "b", State: model.StateGone},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestDecodeListFindings(t *testing.T) {
	entries := func(e string) string { return `{"revision":1,"full":true,"instances":[` + e + `]}` }
	tests := []struct {
		name, data string
		since      uint64
		want       []string
	}{
		{"empty object", `{}`, 0, []string{"revision: missing", "full: missing", "instances: missing"}},
		{"null list", `{"revision":1,"full":true,"instances":null}`, 0, []string{"instances: missing"}},
		{"changes instead of the complete list", `{"revision":1,"full":false,"instances":[]}`, 0, []string{"full: the complete list was requested, but changes were sent"}},
		{"truncated", `{"revision":1,`, 0, []string{"list: unexpected EOF"}},
		{"syntax", "{\n\"revision\":1,]", 0, []string{"list:2:14: invalid character"}},
		{"wrong type", `{"revision":"x"}`, 0, []string{"revision: a JSON string is not allowed"}},
		{"negative revision", `{"revision":-1}`, 0, []string{"revision: a JSON number -1 is not allowed"}},
		{"not an object", `[]`, 0, []string{"a JSON array is not allowed"}},
		{"two values", entries("") + `{}`, 0, []string{"data after the end"}},
		{"null entry", entries("null"), 0, []string{
			"instances[0].state", "instances[0].id: empty", "instances[0].service", "instances[0].data_centre", "instances[0].peer_address"}},
		{"bad state", entries(strings.Replace(validEntry, "live", "alive", 1)), 0, []string{`instances[0].state: "alive"`}},
		{"bad id", entries(strings.Replace(validEntry, `"a"`, `"a/b"`, 1)), 0, []string{"instances[0].id: byte '/'"}},
		{"long id", entries(strings.Replace(validEntry, `"a"`, `"`+strings.Repeat("a", 129)+`"`, 1)), 0, []string{"instances[0].id: 129 bytes"}},
		{"host name", entries(strings.Replace(validEntry, "127.0.0.1", "localhost", 1)), 0, []string{"instances[0].peer_address"}},
		{"port zero", entries(strings.Replace(validEntry, ":70", ":0", 1)), 0, []string{"has port 0"}},
		{"any address", entries(strings.Replace(validEntry, "127.0.0.1", "0.0.0.0", 1)), 0, []string{"is an unspecified or multicast address"}},
		{"no service", entries(strings.Replace(validEntry, `"s"`, `""`, 1)), 0, []string{"instances[0].service: empty"}},
		{"twice", entries(validEntry + "," + validEntry), 0, []string{`instances[1].id: "a" is already used at instances[0]`}},
		{"two entries", entries(strings.Replace(validEntry, "live", "", 1) + `,{"id":"b","state":"live"}`), 0,
			[]string{"instances[0].state", "instances[1].service", "instances[1].data_centre", "instances[1].peer_address"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := DecodeList("list", []byte(test.data), test.since)
			checkFindings(t, err, test.want)
		})
	}
}

func TestDecodeIndexFindings(t *testing.T) {
	tests := []struct {
		name, data string
		want       []string
	}{
		{"empty object", `{}`, []string{"revision: missing", "versions: missing"}},
		{"version zero", `{"revision":1,"versions":[{"name":"a","version":0}]}`, []string{"versions[0].version: must be at least 1"}},
		{"no name", `{"revision":1,"versions":[{"version":1}]}`, []string{"versions[0].name: empty"}},
		{"relative name", `{"revision":1,"versions":[{"name":"..","version":1}]}`, []string{"versions[0].name: \"..\" is a relative path"}},
		{"at sign", `{"revision":1,"versions":[{"name":"a@1","version":1}]}`, []string{"versions[0].name: byte '@'"}},
		{"twice", `{"revision":1,"versions":[{"name":"a","version":1},{"name":"a","version":2}]}`, []string{"versions[1].name"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := DecodeIndex("index", []byte(test.data))
			checkFindings(t, err, test.want)
		})
	}
}

// checkFindings fails unless err is a finding.List whose elements contain the elements of
// want, one each.
func checkFindings(t *testing.T, err error, want []string) {
	t.Helper()
	var list finding.List
	if !errors.As(err, &list) {
		t.Fatalf("error %v is not a finding.List", err)
	}
	if len(list) != len(want) {
		t.Fatalf("%d findings, want %d:\n%v", len(list), len(want), err)
	}
	for i, w := range want {
		if !strings.Contains(list[i].String(), w) {
			t.Errorf("finding %q does not contain %q", list[i], w)
		}
	}
}

func TestFindingsAreLimited(t *testing.T) {
	_, err := DecodeList("list", []byte(`{"revision":1,"full":true,"instances":[`+strings.Repeat("{},", 1000)+`{}]}`), 0)
	var list finding.List
	if !errors.As(err, &list) || len(list) != maxFindings {
		t.Errorf("%d findings, want %d", len(list), maxFindings)
	}
}

func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`{"revision":1,"full":true,"instances":[`+validEntry+`]}`), uint64(0))
	f.Add([]byte(`{"revision":1,"full":false,"instances":[]}`), uint64(9))
	f.Fuzz(func(t *testing.T, data []byte, since uint64) {
		list, err := DecodeList("list", data, since)
		if err != nil {
			return
		}
		for _, in := range list.Instances {
			if CheckName(string(in.ID)) != nil {
				t.Errorf("id %q passed", in.ID)
			}
			if in.State != model.StateGone && CheckAddress(in.PeerAddress) != nil {
				t.Errorf("address %q passed", in.PeerAddress)
			}
		}
	})
}

func FuzzDecodeIndex(f *testing.F) {
	f.Add([]byte(`{"revision":1,"versions":[{"name":"a","version":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		index, err := DecodeIndex("index", data)
		if err != nil {
			return
		}
		for _, v := range index.Versions {
			if CheckName(string(v.Name)) != nil || v.Version == 0 {
				t.Errorf("%v passed", v)
			}
		}
	})
}
