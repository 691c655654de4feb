package server

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

func TestWhatOneNodeHasLostItsPeersHear(t *testing.T) {
	var heard [][]model.InstanceID
	tells := func(ids ...model.InstanceID) *LostOwners {
		return &LostOwners{
			Tell:  func() []model.InstanceID { return ids },
			Heard: func(ids []model.InstanceID) { heard = append(heard, ids) },
		}
	}
	var silent *LostOwners
	for _, l := range []*LostOwners{silent, tells(), tells("w1", "w2")} {
		h := http.Header{}
		l.write(h)
		tells().read(h)
		silent.read(h)
	}
	tells().read(http.Header{wire.HeaderLost: {"not base64 %"}})
	if diff := cmp.Diff([][]model.InstanceID{{"w1", "w2"}}, heard); diff != "" {
		t.Error(diff)
	}
}
