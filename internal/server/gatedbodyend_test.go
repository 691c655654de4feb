package server

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// endLimit bounds the wait for the end of an attempt; reaching it fails the test.
const endLimit = 10 * time.Second

// A call that ended before its attempt's body was sent continued until the attempt would
// have been withdrawn anyway: net/http waits for the writer, which waits for the body. At
// the end of a planned stop this cut off its caller. A goroutine dump showed one call in
// mapRoundTripError for each writer in the body's Read.
func TestAttemptEndsWithItsCallBeforeBodyIsSent(t *testing.T) {
	sent := make(chan struct{})
	release := make(chan struct{})
	address, _ := rawOwner(t, func(net.Conn, *bufio.Reader) {
		close(sent)
		<-release
	})
	defer close(release)
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan Result, 1)
	go func() {
		r, _, err := NewForwarder(nil, nil, 0).Do(ctx, address, gatedMessage(1, http.MethodPost, "amount=7", time.Hour))
		if err != nil {
			t.Error(err)
		}
		ended <- r
	}()
	<-sent
	end()
	select {
	case r := <-ended:
		if r.Response != nil || !r.Refusal.NotRun {
			t.Errorf("got %+v, want a guarantee that it has not run", r)
		}
	case <-time.After(endLimit):
		t.Fatal("the attempt continues after its call has ended")
	}
}
