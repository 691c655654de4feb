package status

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

func TestNodeJSONNames(t *testing.T) {
	age := Ms(1500 * time.Millisecond)
	node := Node{
		Instance: "ledger-1", Service: "ledger", DataCentre: "kigali-a", State: "live", Incarnation: 7,
		Ready: true, NotReadyReasons: []string{}, Bundles: []Bundle{BundleOf(model.BundleVersion{Name: "inyange", Version: 3})},
		Fleet:     Fleet{Revision: 2, Services: []ServiceCount{{Service: "ledger", Live: 3}}},
		Sources:   Sources{ConfigAge: &age, ConfigReads: 4},
		Owner:     LoadOf(model.LoadReport{Limit: 20, InFlight: 3, Queued: 1, ServiceTime: 2500 * time.Microsecond, FailureRate: 250}),
		Links:     []Link{{Peer: "ledger-2", DataCentre: "kigali-b", Outgoing: true, Age: 12}},
		Measuring: Measuring{BudgetPerSecond: 5, Polls: 9, Sent: 8, Received: 7, Refused: 6},
	}
	want := `{"instance":"ledger-1","service":"ledger","data_centre":"kigali-a","state":"live","incarnation":7,` +
		`"ready":true,"missing":[],"bundles":[{"name":"inyange","version":3}],` +
		`"fleet":{"revision":2,"services":[{"service":"ledger","cold":0,"live":3,"leaving":0,"gone":0}]},` +
		`"sources":{"config_age_ms":1500,"list_age_ms":null,"config_reads":4,"list_reads":0},` +
		`"owner":{"limit":20,"in_flight":3,"queued":1,"service_ms":2.5,"failure_rate":0.25},` +
		`"links":[{"peer":"ledger-2","data_centre":"kigali-b","outgoing":true,"age_ms":12}],` +
		`"measuring":{"budget_per_second":5,"polls":9,"sent":8,"received":7,"refused":6}}`
	checkJSON(t, want, node)
}

func TestExplanationJSONNames(t *testing.T) {
	explanation := Explanation{
		Method: "POST", Path: "/payouts", Tenant: "cooperative", Matched: true,
		Bundle: Bundle{Name: "inyange", Version: 3}, Service: "ledger", Class: "payout",
		Candidates: []Candidate{{Instance: "ledger-1", DataCentre: "kigali-a", Expected: 10, Wait: 1, Service: 6, Link: 2, Penalty: 1, InFlight: 4, Note: "n"}},
		Chosen:     "ledger-1",
	}
	want := `{"method":"POST","path":"/payouts","tenant":"cooperative","matched":true,"reason":"",` +
		`"bundle":{"name":"inyange","version":3},"service":"ledger","class":"payout","idempotent":false,` +
		`"candidates":[{"instance":"ledger-1","data_centre":"kigali-a","expected_ms":10,"wait_ms":1,"service_ms":6,` +
		`"link_ms":2,"penalty_ms":1,"in_flight":4,"report_age_ms":null,"note":"n"}],"chosen":"ledger-1"}`
	checkJSON(t, want, explanation)
}

func checkJSON(t *testing.T, want string, v any) {
	t.Helper()
	got, err := json.Marshal(v)
	if err != nil {
		t.Fatalf("Marshal: %v", err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("JSON differs (-want +got):\n%s", diff)
	}
}

func TestAgeOfZeroTimeIsNil(t *testing.T) {
	now := time.Unix(100, 0)
	if got := Age(now, time.Time{}); got != nil {
		t.Errorf("Age = %v, want nil", *got)
	}
	if got := Age(now, now.Add(-time.Second)); got == nil || got.Duration() != time.Second {
		t.Errorf("Age = %v, want a second", got)
	}
}
