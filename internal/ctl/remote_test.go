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

// serve answers every request with one status and body on loopback and returns
// the address.
func serve(t *testing.T, code int, body string) (address string, asked *[]string) {
	t.Helper()
	asked = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*asked = append(*asked, r.Method+" "+r.URL.String())
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), asked
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
	address, asked := serve(t, http.StatusOK, mustJSON(t, status.Node{
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
ready          no, waits for bundle, list
bundles        inyange@3 other@1
configuration  confirmed 1.2 s ago, read 7 times by this node
list           not confirmed, read 0 times by this node
own worker     3 of 20 in flight, 2 queued, 4.50 ms a request, 1.5% failed
measuring      budget 5/s; 1 polls, 2 probes sent, 3 received, 4 refused

Fleet, revision 9:
SERVICE  LIVE  COLD  LEAVING  GONE
ledger   3     0     1        0

Links, 2:
PEER      DATA CENTRE  OPENED BY  AGE
ledger-2  kigali-b     this node  90.0 s
x         -            peer       3.00 ms
`})
	if len(*asked) != 1 || (*asked)[0] != "GET /status" {
		t.Errorf("asked %v", *asked)
	}
}

func TestStatusSaysHowFarBehindANodeIsAndWhy(t *testing.T) {
	age := status.Ms(1700 * time.Millisecond)
	n := status.Node{Directory: &status.Directory{
		Revision: 41, NewestSeen: 43, Age: &age, Late: true, LagReason: "waits-for-peers", Listed: 10, PeerRequests: 5, ReadFailures: 2,
	}}
	const want = "\ndirectory      late: others are expected to read; revision 41 of 43 heard of, confirmed 1.7 s ago; 10 listed, 0 of 5 questions answered, 2 readings failed\n"
	address, _ := serve(t, http.StatusOK, mustJSON(t, n))
	if r := run("status", address); !strings.Contains(r.out, want) {
		t.Errorf("output:\n%s", r.out)
	}
}

func TestExplainShowsCandidates(t *testing.T) {
	age := status.Milliseconds(15)
	address, asked := serve(t, http.StatusOK, mustJSON(t, status.Explanation{
		Method: "POST", Path: "/payouts", Tenant: "ikaze", Matched: true,
		Bundle: status.Bundle{Name: "inyange", Version: 3}, Service: "ledger", Class: "payout",
		Candidates: []status.Candidate{
			{Instance: "ledger-1", DataCentre: "kigali-a", Expected: 10, Wait: 1, Service: 6, Link: 2, Penalty: 1, InFlight: 4, ReportAge: &age},
			{Instance: "ledger-2", DataCentre: "kigali-b", Expected: 14, Service: 12, Link: 2, Note: "refused"},
		},
		Chosen: "ledger-1",
	}))
	run("explain", "-method", "POST", "-path", "/payouts", "-tenant", "ikaze", "-class", "payout", address).check(t, result{
		out: `POST /payouts of tenant ikaze: service ledger, class payout, not idempotent, by inyange@3
   INSTANCE  DATA CENTRE  EXPECTED  = WAIT   + SERVICE  + LINK   + PENALTY  IN FLIGHT  REPORT        NOTE
*  ledger-1  kigali-a     10.00 ms  1.00 ms  6.00 ms    2.00 ms  1.00 ms    4          15.00 ms ago  
   ledger-2  kigali-b     14.00 ms  0.00 ms  12.00 ms   2.00 ms  0.00 ms    0          never         refused
`})
	if want := "GET /explain?class=payout&method=POST&path=%2Fpayouts&tenant=ikaze"; len(*asked) != 1 || (*asked)[0] != want {
		t.Errorf("asked %v, want %s", *asked, want)
	}
}

func TestExplainTellsWhyThereIsNone(t *testing.T) {
	address, _ := serve(t, http.StatusOK, `{"method":"GET","path":"/x","reason":"no-route"}`)
	run("explain", "-path", "/x", address).check(t, result{out: "GET /x: leads nowhere: no-route\n"})
	address, _ = serve(t, http.StatusOK, `{"method":"GET","path":"/x","matched":true,"service":"s","class":"c","idempotent":true,"reason":"no-upstream","bundle":{"name":"b","version":1}}`)
	run("explain", "-path", "/x", address).check(t, result{out: "GET /x: service s, class c, idempotent, by b@1\nno upstream would be chosen: no-upstream\n"})
}

func TestJSONFlagPrintsTheAnswerAsItIs(t *testing.T) {
	address, _ := serve(t, http.StatusOK, `{"instance":"a","later_field":[1,2]}`)
	want := "{\n  \"instance\": \"a\",\n  \"later_field\": [\n    1,\n    2\n  ]\n}\n"
	run("status", "-json", address).check(t, result{out: want})
	run("explain", "-json", "-path", "/x", address).check(t, result{out: want})
}

func TestStatusIsReadDefensively(t *testing.T) {
	address, _ := serve(t, http.StatusOK, `{"instance":"a\u001b[2Jb\u009b","incarnation":"many","later_field":1,"links":null,"state":"live"}`)
	r := run("status", address)
	if r.code != ExitOK || !strings.Contains(r.err, "field incarnation of the answer is of another type") {
		t.Errorf("%+v", r)
	}
	if !strings.HasPrefix(r.out, "instance       a?[2Jb?, incarnation 0\n") || !strings.Contains(r.out, "\nstate          live\n") {
		t.Errorf("output:\n%s", r.out)
	}
}

func TestStatusFailsOnWhatIsNoAnswer(t *testing.T) {
	tests := []struct {
		name string
		code int
		body string
		want string
	}{
		{"not ready", http.StatusServiceUnavailable, "starting\x1b\nmore", "503 Service Unavailable: starting?"},
		{"redirect", http.StatusFound, "", "302 Found"},
		{"no JSON", http.StatusOK, "<html>", "the answer is no JSON"},
		{"a list", http.StatusOK, "[]", "read answer"},
		{"too long", http.StatusOK, strings.Repeat(" ", maxAnswerBytes) + "{}", "answer over the bound"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, _ := serve(t, tt.code, tt.body)
			if r := run("status", address); r.code != ExitFailure || !strings.Contains(r.err, tt.want) || r.out != "" {
				t.Errorf("%+v, want %q", r, tt.want)
			}
		})
	}
}

func TestStatusFollowsNoRedirect(t *testing.T) {
	other, asked := serve(t, http.StatusOK, "{}")
	server := httptest.NewServer(http.RedirectHandler("http://"+other+"/status", http.StatusFound))
	defer server.Close()
	if r := run("status", strings.TrimPrefix(server.URL, "http://")); r.code != ExitFailure || len(*asked) != 0 {
		t.Errorf("%+v; the other was asked %v", r, *asked)
	}
}

func TestStatusFailsWithoutANode(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	if r := run("status", address); r.code != ExitFailure || r.err == "" {
		t.Errorf("%+v", r)
	}
}

func TestStatusWaitsNoLongerThanAsked(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	r := run("status", "-timeout", "20ms", strings.TrimPrefix(server.URL, "http://"))
	if r.code != ExitFailure || !strings.Contains(r.err, "deadline exceeded") {
		t.Errorf("%+v", r)
	}
}
