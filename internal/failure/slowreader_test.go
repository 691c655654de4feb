package failure

import (
	"fmt"
	"io"
	"net"
	"testing"

	"gypsumstand/internal/local"
)

// connect opens a connection that lasts until the test ends, and sends text.
func connect(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestSlowReaderReleasesSlotAtDeadline(t *testing.T) {
	f := sharedFleet(t)
	owners := membersOf(f, "ledger")
	entries := []*local.Member{owners[0], owners[1], membersOf(f, "raw")[0]}
	for i := range 4 * slots {
		address := entries[i%len(entries)].Node.CallerAddress()
		conn := connect(t, address, fmt.Sprintf("GET /big?n=%d HTTP/1.1\r\nHost: x\r\nGypsum-Timeout-Ms: 1000\r\n\r\n", i))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	c := newCallers(t)
	for _, m := range owners {
		awaitIdle(t, m)
		awaitAnswer(t, c, m.Node.CallerAddress(), "/a")
	}
	c.check(t, f.Ledger)
}
