package node

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Reports of net/http's servers were thrown away: a handler that panicked cut its caller
// off, and no log said why.
func TestAHandlersPanicIsLoggedAndBounded(t *testing.T) {
	var out bytes.Buffer
	n := &Node{}
	n.cfg.RequestLog = zerolog.New(&out)
	s := httptest.NewUnstartedServer(nil)
	s.Config = n.httpServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic("the cause " + strings.Repeat("x", 2*maxServerError))
	}))
	s.Start()
	if resp, err := http.Get(s.URL); err == nil {
		resp.Body.Close()
		t.Errorf("answered with %d", resp.StatusCode)
	}
	s.Close()
	if line := out.String(); !strings.Contains(line, "the cause") || len(line) > 2*maxServerError {
		t.Errorf("%d bytes are logged: %.100q", len(line), line)
	}
}
