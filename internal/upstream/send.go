package upstream

import "net/http"

// Send sends a request by transport and watches it with t. reusable decides from the head of
// the response, which it may change, whether the connection may carry another request. If
// not, the connection is closed, and no other request is sent on it: a worker may send a
// response once more, where the response to the next request is expected.
//
// Nothing of a request is sent on a connection that turns out to be closed so; the request
// is then sent on another one. So newRequest is called for each connection and returns the
// request with an unread body. reusable must not block. t must not be used for another Send.
func (t *RequestTrace) Send(
	transport http.RoundTripper, newRequest func() *http.Request, reusable func(*http.Response) bool,
) (*http.Response, error) {
	for {
		resp, err := t.sendOnce(transport, newRequest(), reusable)
		if err == nil || !t.wasUnsent() {
			return resp, err
		}
	}
}

// sendOnce sends r and releases its connection when the response has been judged.
func (t *RequestTrace) sendOnce(
	transport http.RoundTripper, r *http.Request, reusable func(*http.Response) bool,
) (*http.Response, error) {
	t.beginExclusive()
	defer t.endExclusive()
	r = t.Attach(r)
	PreventReplay(r)
	resp, err := transport.RoundTrip(r)
	if err == nil && !reusable(resp) {
		t.CloseConn()
	}
	return resp, err
}

func (t *RequestTrace) beginExclusive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exclusive = true
	t.hasConn, t.conn, t.gotRetired = false, nil, false
}

func (t *RequestTrace) endExclusive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release()
}

// wasUnsent reports whether the request got a retired connection, on which nothing of it
// was sent.
func (t *RequestTrace) wasUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gotRetired
}
