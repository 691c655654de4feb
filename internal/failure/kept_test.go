package failure

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// keptCaller sends requests one after the other on one connection.
type keptCaller struct {
	t      *testing.T
	conn   io.Writer
	reader *bufio.Reader
}

// send sends a request with a body of this size and returns the status of its answer.
func (k *keptCaller) send(method, path string, timeout time.Duration, size int) int {
	k.t.Helper()
	body := strings.Repeat("b", size)
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nGypsum-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, timeout.Milliseconds(), size, body)
	if _, err := io.WriteString(k.conn, text); err != nil {
		k.t.Fatal(err)
	}
	r, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		k.t.Fatal(err)
	}
	r.Body.Close()
	if r.Close {
		k.t.Fatal("the connection is to be closed")
	}
	return r.StatusCode
}

// timeOut sends requests until one ends at its deadline while its worker runs it.
func (k *keptCaller) timeOut(method string, size int) {
	k.t.Helper()
	for range 50 {
		if k.send(method, "/slow", 100*time.Millisecond, size) == http.StatusGatewayTimeout {
			return
		}
	}
	k.t.Fatal("no request ended at its deadline")
}

// A request's deadline ended the reading of its connection, and with it the context of
// all requests that followed there: 295 of them in 18 s of one day, most of them calls
// of workers, which then failed at once.
func TestAConnectionServesOnAfterARequestThatRanOutOfTime(t *testing.T) {
	f := sharedFleet(t)
	for name, size := range map[string]int{"no body": 0, "body that is held": 100, "body that streams": 100_000} {
		for _, entry := range []string{"ledger", "raw"} {
			t.Run(name+", by "+entry, func(t *testing.T) {
				conn := connect(t, of(f, entry)[0].Node.CallerAddress(), "")
				k := &keptCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
				for range 3 {
					k.timeOut(http.MethodPut, size)
					if status := k.send(http.MethodPut, "/a", 5*time.Second, size); status != http.StatusOK {
						t.Errorf("the next request got %d", status)
					}
				}
			})
		}
	}
}
