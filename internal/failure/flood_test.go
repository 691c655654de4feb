package failure

import (
	"net"
	"net/http"
	"testing"

	"gypsumstand/internal/local"
)

// floodSize is the number of connections of each kind.
const floodSize = 100

func TestConnectionFloodDoesNotStopServing(t *testing.T) {
	f := sharedFleet(t)
	node, other := membersOf(f, "raw")[0], membersOf(f, "ledger")[0]
	ports := []string{node.Node.CallerAddress(), node.Node.PeerAddress(), node.Node.OperatorAddress()}
	texts := []string{
		"",
		"GET /a HTTP/1.1\r\nHost: x\r\nX-Half: ",
		"POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf",
	}
	var flood []net.Conn
	for _, port := range ports {
		for _, text := range texts {
			for range floodSize {
				flood = append(flood, connect(t, port, text))
			}
		}
	}
	c := newCallers(t)
	awaitAnswer(t, c, node.Node.CallerAddress(), "/a")
	awaitAnswer(t, c, node.Node.CallerAddress(), "/raw/a")
	awaitAnswer(t, c, other.Node.CallerAddress(), "/raw/a")
	for _, conn := range flood {
		conn.Close()
	}
	await(t, "operators served after the flood", func() bool { return operatorStatus(node, "/readyz") == http.StatusOK })
	for _, s := range c.submissions() {
		if s.path == "/a" && f.Ledger.Runs(s.id) > maxRuns {
			t.Errorf("%s ran %d times", s.id, f.Ledger.Runs(s.id))
		}
	}
}

// operatorStatus gets path from the operator port and returns the status code; zero when
// there is no response.
func operatorStatus(m *local.Member, path string) int {
	resp, err := http.Get("http://" + m.Node.OperatorAddress() + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func TestMissingBodyEndsAtDeadline(t *testing.T) {
	f := sharedFleet(t)
	cases := map[string]string{
		"buffered":                     "POST /hasty HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked":                      "POST /hasty HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf",
		"streamed":                     "POST /hasty HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nhalf",
		"streamed, to another service": "POST /strict HTTP/1.1\r\nHost: x\r\nGypsum-Timeout-Ms: 500\r\nContent-Length: 100000\r\n\r\nhalf",
	}
	started := startedRuns(f)
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			conn := connect(t, membersOf(f, "ledger")[0].Node.CallerAddress(), text)
			got := readResponse(t, conn)
			if got.outcome != notRun && got.outcome != unknown {
				t.Errorf("got %d %q, want not-run or unknown", got.status, got.outcome)
			}
		})
	}
	for _, m := range standIns(f) {
		awaitIdle(t, m)
	}
	if now := startedRuns(f); now != started {
		t.Errorf("%d requests without a complete body ran", now-started)
	}
}
