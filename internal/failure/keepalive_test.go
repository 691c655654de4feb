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

// keepAliveCaller sends requests one after the other on one connection.
type keepAliveCaller struct {
	t      *testing.T
	conn   io.Writer
	reader *bufio.Reader
}

// send sends a request with a body of size bytes and returns the status of its response.
func (k *keepAliveCaller) send(method, path string, timeout time.Duration, size int) int {
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
		k.t.Fatal("the node closes the connection")
	}
	return r.StatusCode
}

// timeOut sends requests until one reaches its deadline while its worker runs it.
func (k *keepAliveCaller) timeOut(method string, size int) {
	k.t.Helper()
	for range 50 {
		if k.send(method, "/slow", 100*time.Millisecond, size) == http.StatusGatewayTimeout {
			return
		}
	}
	k.t.Fatal("no request ended at its deadline")
}

// When a request's deadline ended the reading of its connection, it also cancelled the
// context of all later requests on that connection, and they failed at once.
func TestConnectionServesAfterRequestTimeout(t *testing.T) {
	f := sharedFleet(t)
	for name, size := range map[string]int{"no body": 0, "body that is held": 100, "body that streams": 100_000} {
		for _, entry := range []string{"ledger", "raw"} {
			t.Run(name+", by "+entry, func(t *testing.T) {
				conn := connect(t, membersOf(f, entry)[0].Node.CallerAddress(), "")
				k := &keepAliveCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
				for range 3 {
					k.timeOut(http.MethodPut, size)
					if status := k.send(http.MethodPut, "/a", 5*time.Second, size); status != http.StatusOK {
						t.Errorf("the next request: status %d, want 200", status)
					}
				}
			})
		}
	}
}
