package node_test

import (
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
)

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// seesLive reports whether a member's view of the fleet has exactly that many live
// instances.
func seesLive(want int) func(*local.Member) bool {
	return func(m *local.Member) bool {
		live := 0
		for _, in := range m.Node.Core().Board.Fleet.Get().Instances {
			if in.State == model.StateLive {
				live++
			}
		}
		return live == want
	}
}

// countTime bounds the wait for a call to be counted.
const countTime = 20 * time.Second

// metricsOfOneCall returns the metrics once a call has been counted, its wait last. A
// node counts a call after the response to the caller, so that the caller may read the
// metrics before that.
func metricsOfOneCall(t *testing.T, f *local.Fleet) string {
	t.Helper()
	for end := time.Now().Add(countTime); ; pause.For(t.Context(), 10*time.Millisecond) {
		status, page := get(t, "http://"+f.Members()[0].Node.OperatorAddress()+"/metrics")
		if status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if strings.Contains(page, "gypsum_queue_seconds_count{") || time.Now().After(end) {
			return page
		}
	}
}

func TestMetricLabelsComeOnlyFromBundle(t *testing.T) {
	f := newFleet(t, 2, &httpWorker{runs: map[string]int{}})
	if err := f.Await(t.Context(), seesLive(2)); err != nil {
		t.Fatal(err)
	}
	header := http.Header{"Gypsum-Tenant": {"made-up-by-the-caller"}}
	if _, _, err := do(t, f, http.MethodGet, "/", "", header); err != nil {
		t.Fatal(err)
	}
	page := metricsOfOneCall(t, f)
	for _, want := range []string{
		`gypsum_calls_total\{class="view",outcome="answered",reason="none",service="ledger",tenant="other"\} 1\n`,
		`gypsum_call_seconds_count\{class="view",tenant="other"\} 1\n`,
		`gypsum_added_seconds_count\{class="view",tenant="other"\} 1\n`,
		`gypsum_bundle_version\{bundle="test"\} 1\n`,
		`gypsum_instances\{service="ledger",state="live"\} 2\n`,
		`gypsum_ready 1\n`,
		`gypsum_measuring_messages_total\{kind="poll"\} [1-9]`,
		`gypsum_source_age_seconds\{source="config"\} `,
		`gypsum_source_age_seconds\{source="list"\} `,
		`gypsum_bundles_refused_total\{reason="older"\} 0\n`,
		`gypsum_links 1\n`,
	} {
		if !regexp.MustCompile(want).MatchString(page) {
			t.Errorf("no line like %s", want)
		}
	}
	if strings.Contains(page, "made-up-by-the-caller") {
		t.Error("a label contains a value sent by the caller")
	}
}
