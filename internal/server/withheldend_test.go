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

// A call that was ended while its attempt's body was withheld went on until the attempt
// would have been withdrawn anyway: net/http waits for the writer, which waits for the
// body. At the end of a planned stop its caller was cut off for it. The evidence is the
// goroutines at such an end: one call in mapRoundTripError for each writer in
// withheldBody.Read.
func TestAnAttemptWhoseCallEndsBeforeItsBodyLeftEndsAtOnce(t *testing.T) {
	sent := make(chan struct{})
	let := make(chan struct{})
	address, _ := rawOwner(t, func(net.Conn, *bufio.Reader) {
		close(sent)
		<-let
	})
	defer close(let)
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan Result, 1)
	go func() {
		r, _, err := NewForwarder(nil, nil, 0).Do(ctx, address, withheldWork(1, http.MethodPost, "amount=7", time.Hour))
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
			t.Errorf("got %+v, want what proves that it has not run", r)
		}
	case <-time.After(endLimit):
		t.Fatal("the attempt goes on after its call has ended")
	}
}
