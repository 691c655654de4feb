package failure

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"sync"
	"testing"

	"gypsumstand/internal/local"
)

func TestMain(m *testing.M) {
	if runAsChild() {
		return
	}
	// net/http's transport logs unsolicited responses.
	log.SetOutput(io.Discard)
	code := m.Run()
	if shared.fleet != nil {
		if err := shared.fleet.Close(); err != nil {
			fmt.Fprintln(os.Stderr, "shared fleet:", err)
			code = max(code, 1)
		}
	}
	os.Exit(code)
}

// shared is the fleet of the tests that leave it unchanged. They do not run in parallel.
var shared struct {
	once  sync.Once
	fleet *local.Fleet
	err   error
}

// sharedFleet returns the shared fleet: two nodes of "ledger" with a stand-in worker
// each, two of "strict", and one of "raw" with rawWorker.
func sharedFleet(t *testing.T) *local.Fleet {
	t.Helper()
	shared.once.Do(func() {
		cfg := config(2)
		cfg.Services = append(cfg.Services,
			local.Service{Name: "strict", Workers: 2, Profiles: profiles},
			local.Service{Name: "raw", Workers: 1, Handler: http.HandlerFunc(rawWorker)})
		shared.fleet, shared.err = local.Start(cfg)
	})
	if shared.err != nil {
		t.Fatal(shared.err)
	}
	awaitMembers(t, shared.fleet, "ready with all workers live", func(m *local.Member) bool {
		return local.Ready(m) && liveAt(m) == len(shared.fleet.Members())
	})
	return shared.fleet
}

// standIns returns the members with stand-in workers.
func standIns(f *local.Fleet) []*local.Member {
	var out []*local.Member
	for _, m := range f.Members() {
		if m.Worker != nil {
			out = append(out, m)
		}
	}
	return out
}

// membersOf returns the members of a service.
func membersOf(f *local.Fleet, service string) []*local.Member {
	var out []*local.Member
	for _, m := range f.Members() {
		if string(m.Service) == service {
			out = append(out, m)
		}
	}
	return out
}
