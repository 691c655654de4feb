package proof

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// instanceSpec holds one instance's fixed attributes.
type instanceSpec struct {
	service    model.ServiceName
	dataCentre model.DataCentre
}

// layout is the fleet: two services over three data centres.
var layout = []instanceSpec{
	{"ledger", "dc1"},
	{"ledger", "dc2"},
	{"ledger", "dc3"},
	{"statements", "dc1"},
	{"statements", "dc2"},
}

const bundleName model.BundleName = "vouchers"

// measuringPerSecond is the bundle's measuring budget per upstream, in messages a second.
const measuringPerSecond = 5

// keyMemory is how long a home node remembers a request id after the request has ended.
const keyMemory = 12 * time.Second

// workerSlots is the number of requests that one worker runs at once.
const workerSlots = 4

const bundleText = `
name = "vouchers"
version = %d
[measuring]
per_upstream_per_second = %d
[retry]
per_path = 2
[[class]]
name = "payout"
worth = 10.0
deadline_ms = 1500
share = 0.25
[[class]]
name = "view"
worth = 1.0
deadline_ms = 1000
share = 0.25
[[class]]
name = "lookup"
worth = 0.0
deadline_ms = 600
[[tenant]]
name = "cooperative"
rate_per_second = 20
[[service]]
name = "ledger"
slots = %d
connections = 40
key_memory_ms = %d
warmup_ms = 500
%srequire_echo = true
health_path = "/health"
[[service.route]]
path = "/payouts"
class = "payout"
idempotent = false
[[service.route]]
path = "/balances"
class = "lookup"
[[service]]
name = "statements"
slots = %d
connections = 40
key_memory_ms = %d
warmup_ms = 500
%srequire_echo = true
health_path = "/health"
[[service.route]]
path = "/statements"
class = "view"
[[service.route]]
path = "/orders"
class = "payout"
idempotent = false
`

// callerRoute is a route that callers request.
type callerRoute struct {
	method, path string
	idempotent   bool
}

var callerRoutes = []callerRoute{
	{"POST", "/payouts", false},
	{"POST", "/orders", false},
	{"GET", "/statements", true},
	{"GET", "/balances", true},
}

// signerKey signs every bundle of the simulation.
var signerKey = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))

var trusted = []bundle.Signer{{Name: "Operator", Key: signerKey.Public().(ed25519.PublicKey)}}

// signedBundle returns one signed bundle version as the configuration service holds it.
// warming holds additional settings for both services.
func signedBundle(version uint64, warming string) []byte {
	text := fmt.Appendf(nil, bundleText, version, measuringPerSecond,
		workerSlots, keyMemory.Milliseconds(), warming, workerSlots, keyMemory.Milliseconds(), warming)
	data, err := bundle.Sign(trusted[0].Name, signerKey, text).Marshal()
	if err != nil {
		panic(err)
	}
	return data
}
