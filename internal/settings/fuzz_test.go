package settings

import (
	"errors"
	"net/netip"
	"testing"

	"gypsumstand/internal/finding"
)

// FuzzParse checks that whatever Parse takes can be used without a further
// check, and that whatever it refuses has findings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("peers = [\"127.0.0.1\", 3]\n[platform]\ntimeout_ms = \"x\"\n[[signer]]\nkey = \"AAAA\"\n[tls]\nkey = \"k\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil {
			var list finding.List
			if s != nil || !errors.As(err, &list) || len(list) == 0 {
				t.Fatalf("Parse = %v, %T %v", s, err, err)
			}
			return
		}
		addresses := append([]string{s.CallerAddress, s.PeerAddress, s.OperatorAddress, s.WorkerAddress, s.Platform.ConfigAddress, s.Platform.ListAddress}, s.Peers...)
		for _, a := range addresses {
			if addr, err := netip.ParseAddrPort(a); err != nil || addr.Port() == 0 {
				t.Errorf("address %q: %v", a, err)
			}
		}
		if len(s.TrustedSigners()) != len(s.Signers) || len(s.Signers) == 0 {
			t.Errorf("%d of %d signers are trusted", len(s.TrustedSigners()), len(s.Signers))
		}
		if s.LeaveGrace() >= s.StopTimeout() || s.LeaveGrace() < 0 || s.Platform.Timeout() <= 0 {
			t.Errorf("times %v, %v, %v", s.LeaveGrace(), s.StopTimeout(), s.Platform.Timeout())
		}
	})
}
