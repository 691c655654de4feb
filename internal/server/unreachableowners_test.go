package server

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

func TestUnreachableOwnersArePassedToPeers(t *testing.T) {
	var received [][]model.InstanceID
	owners := func(ids ...model.InstanceID) *UnreachableOwners {
		return &UnreachableOwners{
			List:     func() []model.InstanceID { return ids },
			Reported: func(ids []model.InstanceID) { received = append(received, ids) },
		}
	}
	var none *UnreachableOwners
	for _, l := range []*UnreachableOwners{none, owners(), owners("w1", "w2")} {
		h := http.Header{}
		l.write(h)
		owners().read(h)
		none.read(h)
	}
	owners().read(http.Header{wire.HeaderUnreachable: {"not base64 %"}})
	if diff := cmp.Diff([][]model.InstanceID{{"w1", "w2"}}, received); diff != "" {
		t.Error(diff)
	}
}

func TestPeerResponsesOmitDate(t *testing.T) {
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
