package platform

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/fake/listen"
	"gypsumstand/internal/model"
	protocol "gypsumstand/internal/registry"
)

// harness is a platform with a client, within a testing/synctest bubble.
type harness struct {
	*Platform
	client *protocol.Client
}

// runSynctest runs f with a platform and a client on the fake clock of testing/synctest.
func runSynctest(t *testing.T, cfg Config, f func(t *testing.T, s harness)) {
	synctest.Test(t, func(t *testing.T) {
		p := New(cfg)
		pipe := listen.NewPipe()
		server := p.NewServer()
		go func() { _ = server.Serve(pipe) }()
		client, err := protocol.NewClient(protocol.ClientConfig{Addresses: []string{"127.0.0.1:1"}, Dial: pipe.Dial})
		if err != nil {
			t.Fatal(err)
		}
		f(t, harness{Platform: p, client: client})
		client.Close()
		_ = server.Close()
		_ = pipe.Close()
	})
}

func instance(id string) model.Instance {
	return model.Instance{ID: model.InstanceID(id), Service: "s", DataCentre: "k1", PeerAddress: "127.0.0.1:70", State: model.StateLive}
}

func (s harness) list(t *testing.T, since uint64) control.ListRead {
	t.Helper()
	list, err := s.client.List(context.Background(), since)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// states returns "id=state" of each instance, separated by spaces.
func states(list control.ListRead) string {
	var out []string
	for _, in := range list.Instances {
		out = append(out, string(in.ID)+"="+in.State.String())
	}
	return strings.Join(out, " ")
}

func TestChangesSinceRevision(t *testing.T) {
	runSynctest(t, Config{}, func(t *testing.T, s harness) {
		if list := s.list(t, 0); list.Revision != 0 || !list.Full || len(list.Instances) != 0 {
			t.Errorf("empty list: %+v", list)
		}
		s.PutInstance(instance("a"))
		s.PutInstance(instance("b"))
		s.PutInstance(instance("c"))
		if err := s.SetState("b", model.StateLeaving); err != nil {
			t.Fatal(err)
		}
		if err := s.RemoveInstance("c"); err != nil {
			t.Fatal(err)
		}
		steps := []struct {
			since uint64
			full  bool
			want  string
		}{
			{0, true, "a=live b=leaving"},
			{1, false, "b=leaving c=gone"},
			{3, false, "b=leaving c=gone"},
			{4, false, "c=gone"},
			{5, false, ""},
			{9, true, "a=live b=leaving"},
		}
		for _, step := range steps {
			list := s.list(t, step.since)
			if list.Revision != 5 || list.Full != step.full || states(list) != step.want {
				t.Errorf("since %d: revision %d full %v %q, want 5 %v %q", step.since, list.Revision, list.Full, states(list), step.full, step.want)
			}
		}
		if err := s.SetState("c", model.StateLive); err == nil {
			t.Error("the state of a removed instance could be set")
		}
	})
}

// A reader that applies the changes it reads must end up with the full list, whatever
// revision it started from and however often the log was compacted.
func TestChangesAddUpToTheFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := instanceLog{base: map[string]protocol.InstanceEntry{}}
		at := time.Unix(1000, 0)
		held := map[string]protocol.InstanceEntry{}
		var since uint64
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			at = at.Add(time.Second)
			state := rapid.SampledFrom([]string{"live", "leaving", "gone"}).Draw(t, "state")
			log.add(at, protocol.InstanceEntry{ID: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"), State: state})
			if rapid.IntRange(0, 9).Draw(t, "compact") == 0 {
				log.compactTo(rapid.IntRange(0, 5).Draw(t, "kept"))
			}
			if !rapid.Bool().Draw(t, "read") {
				continue
			}
			list := log.read(at, since)
			if *list.Full {
				held = map[string]protocol.InstanceEntry{}
			}
			for _, e := range list.Instances {
				apply(held, e)
			}
			since = *list.Revision
			if diff := cmp.Diff(log.latest(), held); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func TestListLagDelaysChanges(t *testing.T) {
	runSynctest(t, Config{}, func(t *testing.T, s harness) {
		if err := s.ChangeFaults(func(f *Faults) { f.ListLagMs = 5000 }); err != nil {
			t.Fatal(err)
		}
		s.PutInstance(instance("a"))
		time.Sleep(5*time.Second - time.Nanosecond)
		if got := states(s.list(t, 0)); got != "" {
			t.Errorf("before the lag: %q", got)
		}
		time.Sleep(time.Nanosecond)
		if got := states(s.list(t, 0)); got != "a=live" {
			t.Errorf("after the lag: %q", got)
		}
	})
}

func TestFreezeAndThaw(t *testing.T) {
	runSynctest(t, Config{}, func(t *testing.T, s harness) {
		publish := func(version uint64) {
			t.Helper()
			if err := s.Publish(model.BundleVersion{Name: "b", Version: version}, fmt.Append(nil, version)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		check := func(wantRevision, wantVersion uint64, wantList string) {
			t.Helper()
			index, err := s.client.Index(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			want := control.IndexRead{Revision: wantRevision, Versions: []model.BundleVersion{{Name: "b", Version: wantVersion}}}
			if diff := cmp.Diff(want, index); diff != "" {
				t.Error(diff)
			}
			value, err := s.client.Value(context.Background(), "b")
			if err != nil || string(value) != fmt.Sprint(wantVersion) {
				t.Errorf("value %q, %v; want %d", value, err, wantVersion)
			}
			if got := states(s.list(t, 0)); got != wantList {
				t.Errorf("list %q, want %q", got, wantList)
			}
		}
		s.PutInstance(instance("a"))
		publish(1)
		s.FreezeConfig()
		s.FreezeList()
		time.Sleep(time.Second)
		s.PutInstance(instance("b"))
		publish(2)
		publish(3)
		check(1, 1, "a=live")
		s.ThawConfig()
		check(3, 3, "a=live")
		s.ThawList()
		check(3, 3, "a=live b=live")
		publish(2) // an older version may be published again
		check(4, 2, "a=live b=live")
	})
}

func TestOutages(t *testing.T) {
	runSynctest(t, Config{}, func(t *testing.T, s harness) {
		if err := s.Publish(model.BundleVersion{Name: "b", Version: 1}, []byte("x")); err != nil {
			t.Fatal(err)
		}
		for _, kind := range []Outage{OutageRefuse, OutageError, OutageHang} {
			if err := s.ChangeFaults(func(f *Faults) { f.ConfigOutage = kind }); err != nil {
				t.Fatal(err)
			}
			if _, err := s.client.Index(context.Background()); err == nil {
				t.Errorf("%v: reading the index succeeded", kind)
			}
			if _, err := s.client.Value(context.Background(), "b"); err == nil {
				t.Errorf("%v: reading the value succeeded", kind)
			}
			s.list(t, 0) // the list is unaffected
		}
		if err := s.ChangeFaults(func(f *Faults) { f.ConfigOutage, f.ListOutage = OutageNone, OutageError }); err != nil {
			t.Fatal(err)
		}
		if _, err := s.client.List(context.Background(), 0); !errors.Is(err, protocol.ErrStatus) {
			t.Errorf("list: %v, want ErrStatus", err)
		}
		if _, err := s.client.Value(context.Background(), "b"); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

func TestEndOfHangCutsPendingCalls(t *testing.T) {
	runSynctest(t, Config{}, func(t *testing.T, s harness) {
		if err := s.ChangeFaults(func(f *Faults) { f.ConfigOutage = OutageHang }); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() {
			_, err := s.client.Index(context.Background())
			ended <- err
		}()
		synctest.Wait()
		if err := s.ChangeFaults(func(f *Faults) { f.ConfigOutage = OutageNone }); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("hung call returned %v, want a cut connection", err)
		}
	})
}

func TestRateLimitAndCountersCoverAllCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{RatePerSecond: 50, Now: func() time.Time { return now }})
	handler := p.Handler()
	call := func(path string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	paths := []string{"/v1/instances", "/v1/instances?since=0", "/v1/config", "/v1/config/none", "/v1/instances?since=x"}
	for i := range 5 { // the burst is a tenth of a second's worth
		if code := call(paths[i]); code == http.StatusTooManyRequests {
			t.Errorf("call %d was limited", i)
		}
	}
	for _, path := range paths {
		if code := call(path); code != http.StatusTooManyRequests {
			t.Errorf("%s over the rate: status %d", path, code)
		}
	}
	now = now.Add(20 * time.Millisecond)
	if code := call("/v1/config"); code != http.StatusOK {
		t.Errorf("after a token was refilled: status %d", code)
	}
	if code := call("/v1/config"); code != http.StatusTooManyRequests {
		t.Errorf("after the refilled token was spent: status %d", code)
	}
	want := Counters{Calls: 12, ListFull: 2, Index: 2, NotFound: 1, Malformed: 1, Limited: 6, PeakPerSecond: 12}
	if diff := cmp.Diff(want, p.Counters()); diff != "" {
		t.Error(diff)
	}
	if err := p.ChangeFaults(func(f *Faults) { f.RatePerSecond = 0 }); err == nil {
		t.Error("a rate of 0 was accepted")
	}
}

const testBundle = "name = \"b\"\nversion = 3\n"

func TestControlHandler(t *testing.T) {
	p := New(Config{})
	_, key, err := ed25519.GenerateKey(bytes.NewReader(make([]byte, 64)))
	if err != nil {
		t.Fatal(err)
	}
	signed, err := bundle.Sign("ada", key, []byte(testBundle)).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		method, path, body string
		status             int
	}{
		{"PUT", "/instances/a", `{"service":"s","data_centre":"k1","peer_address":"127.0.0.1:70","state":"live"}`, 204},
		{"PUT", "/instances/b", `{"service":"s","data_centre":"k1","peer_address":"nowhere","state":"live"}`, 400},
		{"PUT", "/instances/b", `{"id":"c","service":"s","data_centre":"k1","peer_address":"127.0.0.1:70","state":"live"}`, 400},
		{"PUT", "/instances/b", `{"colour":"red"}`, 400},
		{"POST", "/instances/a", `{"state":"leaving"}`, 204},
		{"POST", "/instances/a", `{"state":"asleep"}`, 400},
		{"POST", "/instances/z", `{"state":"live"}`, 400},
		{"DELETE", "/instances/z", ``, 400},
		{"PATCH", "/faults", `{"list_lag_ms":0,"config_outage":"hang"}`, 204},
		{"PATCH", "/faults", `{"config_outage":"fire"}`, 400},
		{"PATCH", "/faults", `{"list_lag_ms":-1}`, 400},
		{"PATCH", "/faults", `{"no_such":1}`, 400},
		{"PUT", "/values", string(signed), 204},
		{"PUT", "/values", "junk", 400},
		{"PUT", "/values/raw?version=2", "junk", 204},
		{"PUT", "/values/raw", "junk", 400},
	}
	handler := p.Control()
	for _, s := range steps {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(s.method, s.path, strings.NewReader(s.body)))
		if w.Code != s.status {
			t.Errorf("%s %s %s: status %d, want %d: %s", s.method, s.path, s.body, w.Code, s.status, w.Body)
		}
	}
	want := Faults{ConfigOutage: OutageHang, RatePerSecond: DefaultRatePerSecond}
	if diff := cmp.Diff(want, p.Faults()); diff != "" {
		t.Error(diff)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.list.latest()["a"].State; state != "leaving" {
		t.Errorf("state of instance a: %q, want \"leaving\"", state)
	}
	if v, ok := p.config.value(p.now(), "b"); !ok || v.version != 3 || !bytes.Equal(v.data, signed) {
		t.Errorf("value b: found %v, version %d; want version 3 with the signed bytes", ok, v.version)
	}
}

func TestReadersCannotWrite(t *testing.T) {
	p := New(Config{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	resp, err := http.Post(server.URL+"/v1/config", "text/plain", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("writing to the platform: status %d", resp.StatusCode)
	}
}
