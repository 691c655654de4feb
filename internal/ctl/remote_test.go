package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gypsumstand/internal/status"
)

// serveResponse starts a server that sends the same response to every request. It returns
// its address and the requests received.
func serveResponse(t *testing.T, code int, body string) (address string, requests *[]string) {
	t.Helper()
	requests = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*requests = append(*requests, r.Method+" "+r.URL.String())
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

func mustJSON(t *testing.T, v any) string {
	t.Helper()
	out, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

func TestStatusShowsANode(t *testing.T) {
	age := status.Ms(1200 * time.Millisecond)
	address, requests := serveResponse(t, http.StatusOK, mustJSON(t, status.Node{
		Instance: "ledger-1", Service: "ledger", DataCentre: "kigali-a", State: "live", Incarnation: 42,
		Ready: false, NotReadyReasons: []string{"bundle", "list"},
		Bundles:   []status.Bundle{{Name: "inyange", Version: 3}, {Name: "other", Version: 1}},
		Fleet:     status.Fleet{Revision: 9, Services: []status.ServiceCount{{Service: "ledger", Live: 3, Leaving: 1}}},
		Sources:   status.Sources{ConfigAge: &age, ConfigReads: 7},
		Owner:     status.Load{Limit: 20, InFlight: 3, Queued: 2, ServiceTime: 4.5, FailureRate: 0.015},
		Links:     []status.Link{{Peer: "ledger-2", DataCentre: "kigali-b", Outgoing: true, Age: 90_000}, {Peer: "x", Age: 3}},
		Measuring: status.Measuring{BudgetPerSecond: 5, Polls: 1, Sent: 2, Received: 3, Refused: 4},
	}))
	run("status", address).check(t, result{out: `instance       ledger-1, incarnation 42
service        ledger in kigali-a
state          live
ready          no, waiting for bundle, list
bundles        inyange@3 other@1
configuration  confirmed 1.2 s ago, 7 reads by this node
list           not confirmed, 0 reads by this node
own worker     3 of 20 in flight, 2 queued, 4.50 ms per request, 1.5% failed
measuring      budget 5/s; 1 polls, 2 probes sent, 3 received, 4 refused

Fleet, revision 9:
SERVICE  LIVE  COLD  LEAVING  GONE
ledger   3     0     1        0

Links, 2:
PEER      DATA CENTRE  OPENED BY  AGE
ledger-2  kigali-b     this node  90.0 s
x         -            peer       3.00 ms
`})
	if len(*requests) != 1 || (*requests)[0] != "GET /status" {
		t.Errorf("requests %v", *requests)
	}
}

func TestStatusShowsDirectoryLag(t *testing.T) {
	age := status.Ms(1700 * time.Millisecond)
	n := status.Node{Directory: &status.Directory{
		Revision: 41, NewestSeen: 43, Age: &age, Late: true, LagReason: "waits-for-peers", Listed: 10, PeerRequests: 5, ReadFailures: 2,
	}}
	const want = "\ndirectory      late: waiting for peers to read; revision 41, newest seen 43, confirmed 1.7 s ago; 10 listed, 0 of 5 peer requests answered, 2 reads failed\n"
	address, _ := serveResponse(t, http.StatusOK, mustJSON(t, n))
	if r := run("status", address); !strings.Contains(r.out, want) {
		t.Errorf("output:\n%s", r.out)
	}
}

func TestExplainShowsCandidates(t *testing.T) {
	age := status.Milliseconds(15)
	address, requests := serveResponse(t, http.StatusOK, mustJSON(t, status.Explanation{
		Method: "POST", Path: "/payouts", Tenant: "ikaze", Matched: true,
		Bundle: status.Bundle{Name: "inyange", Version: 3}, Service: "ledger", Class: "payout",
		Candidates: []status.Candidate{
			{Instance: "ledger-1", DataCentre: "kigali-a", Expected: 10, Wait: 1, Service: 6, Link: 2, Penalty: 1, InFlight: 4, ReportAge: &age},
			{Instance: "ledger-2", DataCentre: "kigali-b", Expected: 14, Service: 12, Link: 2, Note: "refused"},
		},
		Chosen: "ledger-1",
	}))
	run("explain", "-method", "POST", "-path", "/payouts", "-tenant", "ikaze", "-class", "payout", address).check(t, result{
		out: `POST /payouts of tenant ikaze: service ledger, class payout, not idempotent, from inyange@3
   INSTANCE  DATA CENTRE  EXPECTED  = WAIT   + SERVICE  + LINK   + PENALTY  IN FLIGHT  REPORT        NOTE
*  ledger-1  kigali-a     10.00 ms  1.00 ms  6.00 ms    2.00 ms  1.00 ms    4          15.00 ms ago  
   ledger-2  kigali-b     14.00 ms  0.00 ms  12.00 ms   2.00 ms  0.00 ms    0          never         refused
`})
	if want := "GET /explain?class=payout&method=POST&path=%2Fpayouts&tenant=ikaze"; len(*requests) != 1 || (*requests)[0] != want {
		t.Errorf("requests %v, want %s", *requests, want)
	}
}

func TestExplainWithoutUpstream(t *testing.T) {
	address, _ := serveResponse(t, http.StatusOK, `{"method":"GET","path":"/x","reason":"no-route"}`)
	run("explain", "-path", "/x", address).check(t, result{out: "GET /x: not routable: no-route\n"})
	address, _ = serveResponse(t, http.StatusOK, `{"method":"GET","path":"/x","matched":true,"service":"s","class":"c","idempotent":true,"reason":"no-upstream","bundle":{"name":"b","version":1}}`)
	run("explain", "-path", "/x", address).check(t, result{out: "GET /x: service s, class c, idempotent, from b@1\nno upstream available: no-upstream\n"})
}

func TestJSONFlagPrintsResponseUnchanged(t *testing.T) {
	address, _ := serveResponse(t, http.StatusOK, `{"instance":"a","later_field":[1,2]}`)
	want := "{\n  \"instance\": \"a\",\n  \"later_field\": [\n    1,\n    2\n  ]\n}\n"
	run("status", "-json", address).check(t, result{out: want})
	run("explain", "-json", "-path", "/x", address).check(t, result{out: want})
}

func TestStatusToleratesUnknownAndMistypedFields(t *testing.T) {
	address, _ := serveResponse(t, http.StatusOK, `{"instance":"a\u001b[2Jb\u009b","incarnation":"many","later_field":1,"links":null,"state":"live"}`)
	r := run("status", address)
	if r.code != ExitOK || !strings.Contains(r.err, "field incarnation of the response has an unexpected type") {
		t.Errorf("%+v", r)
	}
	if !strings.HasPrefix(r.out, "instance       a?[2Jb?, incarnation 0\n") || !strings.Contains(r.out, "\nstate          live\n") {
		t.Errorf("output:\n%s", r.out)
	}
}

func TestStatusRejectsInvalidResponses(t *testing.T) {
	tests := []struct {
		name string
		code int
		body string
		want string
	}{
		{"not ready", http.StatusServiceUnavailable, "starting\x1b\nmore", "503 Service Unavailable: starting?"},
		{"redirect", http.StatusFound, "", "302 Found"},
		{"no JSON", http.StatusOK, "<html>", "response is not valid JSON"},
		{"a list", http.StatusOK, "[]", "decode response"},
		{"too long", http.StatusOK, strings.Repeat(" ", maxResponseBytes) + "{}", "response exceeds the limit"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, _ := serveResponse(t, tt.code, tt.body)
			if r := run("status", address); r.code != ExitFailure || !strings.Contains(r.err, tt.want) || r.out != "" {
				t.Errorf("%+v, want %q", r, tt.want)
			}
		})
	}
}

func TestStatusFollowsNoRedirect(t *testing.T) {
	other, requests := serveResponse(t, http.StatusOK, "{}")
	server := httptest.NewServer(http.RedirectHandler("http://"+other+"/status", http.StatusFound))
	defer server.Close()
	if r := run("status", strings.TrimPrefix(server.URL, "http://")); r.code != ExitFailure || len(*requests) != 0 {
		t.Errorf("%+v; the redirect target received %v", r, *requests)
	}
}

func TestStatusFailsWhenNodeIsDown(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	if r := run("status", address); r.code != ExitFailure || r.err == "" {
		t.Errorf("%+v", r)
	}
}

func TestStatusHonoursTimeout(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	r := run("status", "-timeout", "20ms", strings.TrimPrefix(server.URL, "http://"))
	if r.code != ExitFailure || !strings.Contains(r.err, "deadline exceeded") {
		t.Errorf("%+v", r)
	}
}
