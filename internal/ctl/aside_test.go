package ctl

import (
	"net/http"
	"testing"
	"time"

	"gypsumstand/internal/status"
)

func TestAsideShowsWhatIsPutAsideAndWhy(t *testing.T) {
	since, next := status.Ms(90*time.Second), status.Ms(20*time.Second)
	address, asked := serve(t, http.StatusOK, mustJSON(t, status.Quarantine{
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
	run("aside", address).check(t, result{out: `This node's own worker ended 2 times with requests in hand.

STATE      SINCE       NEXT TRIAL  ENDED UNDER IT                            FINGERPRINT  ASKED
put aside  90.0 s ago  in 20.0 s   ledger-1 95.0 s ago, ledger-2 92.0 s ago  0a1b         POST /payouts
put aside  90.0 s ago  none left   ledger-3 400.00 ms ago                    2c3d         -
suspect    -           -           ledger-3 400.00 ms ago                    4e5f         GET /vouchers/7?[31m
`})
	if len(*asked) != 1 || (*asked)[0] != "GET /aside" {
		t.Errorf("asked %q", *asked)
	}
}

func TestAsideSaysThatNothingIsSuspect(t *testing.T) {
	address, _ := serve(t, http.StatusOK, mustJSON(t, status.Quarantine{}))
	run("aside", address).check(t, result{out: `This node's own worker ended 0 times with requests in hand.
No request is suspect.
`})
}
