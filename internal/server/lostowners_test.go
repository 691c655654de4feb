package server

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

func TestWhatOneNodeHasLostItsPeersHear(t *testing.T) {
	var heard [][]model.InstanceID
	tells := func(ids ...model.InstanceID) *UnreachableOwners {
		return &UnreachableOwners{
			List:     func() []model.InstanceID { return ids },
			Reported: func(ids []model.InstanceID) { heard = append(heard, ids) },
		}
	}
	var silent *UnreachableOwners
	for _, l := range []*UnreachableOwners{silent, tells(), tells("w1", "w2")} {
		h := http.Header{}
		l.write(h)
		tells().read(h)
		silent.read(h)
	}
	tells().read(http.Header{wire.HeaderUnreachable: {"not base64 %"}})
	if diff := cmp.Diff([][]model.InstanceID{{"w1", "w2"}}, heard); diff != "" {
		t.Error(diff)
	}
}

func TestAnswersBetweenNodesCarryNoDate(t *testing.T) {
	s := httptest.NewServer(&PeerHandler{})
	defer s.Close()
	resp, err := http.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest || resp.Header.Get("Date") != "" {
		t.Errorf("status %d, date %q", resp.StatusCode, resp.Header.Get("Date"))
	}
}
