package ctl

import (
	"net/http"
	"testing"
	"time"

	"gypsumstand/internal/status"
)

func TestAsideListsSuspectAndQuarantinedRequests(t *testing.T) {
	since, next := status.Ms(90*time.Second), status.Ms(20*time.Second)
	address, requests := serveResponse(t, http.StatusOK, mustJSON(t, status.Quarantine{
		Crashes: 2,
		Requests: []status.SuspectRequest{
			{
				Fingerprint: "0a1b", Label: "POST /payouts", Quarantined: true, SinceAge: &since, NextTrial: &next,
				Crashes: []status.WorkerCrash{{Instance: "ledger-1", Age: 95_000}, {Instance: "ledger-2", Age: 92_000}},
			},
			{Fingerprint: "2c3d", Quarantined: true, SinceAge: &since, Crashes: []status.WorkerCrash{{Instance: "ledger-3", Age: 400}}},
			{Fingerprint: "4e5f", Label: "GET /vouchers/7\x1b[31m", Crashes: []status.WorkerCrash{{Instance: "ledger-3", Age: 400}}},
		},
	}))
	run("aside", address).check(t, result{out: `This node's own worker crashed 2 times with requests in flight.

STATE        SINCE       NEXT TRIAL  CRASHES                                   FINGERPRINT  ASKED
quarantined  90.0 s ago  in 20.0 s   ledger-1 95.0 s ago, ledger-2 92.0 s ago  0a1b         POST /payouts
quarantined  90.0 s ago  none left   ledger-3 400.00 ms ago                    2c3d         -
suspect      -           -           ledger-3 400.00 ms ago                    4e5f         GET /vouchers/7?[31m
`})
	if len(*requests) != 1 || (*requests)[0] != "GET /aside" {
		t.Errorf("requests %q, want one GET /aside", *requests)
	}
}

func TestAsideWithoutSuspects(t *testing.T) {
	address, _ := serveResponse(t, http.StatusOK, mustJSON(t, status.Quarantine{}))
	run("aside", address).check(t, result{out: `This node's own worker crashed 0 times with requests in flight.
No suspect requests.
`})
}
