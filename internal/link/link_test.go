package link_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"

	"gypsumstand/internal/control"
	"gypsumstand/internal/link"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// endpoint is a manager with its port and the events that it reported.
type endpoint struct {
	manager *link.Manager
	address string
	events  chan control.Event
}

func newEndpoint(t *testing.T, id model.InstanceID, maxAccepted int) *endpoint {
	t.Helper()
	e := &endpoint{events: make(chan control.Event, 64)}
	e.manager = link.New(link.Config{
		Self:        func() model.Instance { return model.Instance{ID: id, Incarnation: 1} },
		Sink:        func(ev control.Event) { e.events <- ev },
		OnPanic:     func(err error) { t.Error(err) },
		MaxAccepted: maxAccepted,
	})
	mux := http.NewServeMux()
	mux.Handle(link.Path, e.manager.Handler())
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	t.Cleanup(e.manager.Close)
	e.address = strings.TrimPrefix(s.URL, "http://")
	return e
}

// next returns the next event, which must be of type T.
func next[T control.Event](t *testing.T, e *endpoint) T {
	t.Helper()
	ev := <-e.events
	want, ok := ev.(T)
	if !ok {
		t.Fatalf("event %T %+v, want %T", ev, ev, want)
	}
	return want
}

func TestLinkCarriesMessagesBothWaysAndReportsEnd(t *testing.T) {
	a, b := newEndpoint(t, "a", 4), newEndpoint(t, "b", 4)
	a.manager.Open("b", b.address)
	if up := next[control.LinkUp](t, a); up.Peer.ID != "b" || !up.Outgoing {
		t.Errorf("a: %+v", up)
	}
	if up := next[control.LinkUp](t, b); up.Peer.ID != "a" || up.Outgoing {
		t.Errorf("b: %+v", up)
	}
	if !a.manager.Send("b", wire.KeyResult{Request: "r"}) || !b.manager.Send("a", wire.KeyResult{Request: "s"}) {
		t.Fatal("Send: no link")
	}
	if got := next[control.Received](t, b); got.From != "a" || got.Message != (wire.KeyResult{Request: "r"}) {
		t.Errorf("b: %+v", got)
	}
	if got := next[control.Received](t, a); got.From != "b" || got.Message != (wire.KeyResult{Request: "s"}) {
		t.Errorf("a: %+v", got)
	}
	a.manager.CloseLink("b")
	if down := next[control.LinkDown](t, a); down.Failed {
		t.Errorf("a: %+v, want a planned close", down)
	}
	if down := next[control.LinkDown](t, b); !down.Failed {
		t.Errorf("b: %+v, want an unplanned close", down)
	}
}

func TestFailedOpenIsReported(t *testing.T) {
	a := newEndpoint(t, "a", 4)
	a.manager.Open("b", "127.0.0.1:1")
	if down := next[control.LinkDown](t, a); down.Peer != "b" || !down.Failed {
		t.Errorf("%+v", down)
	}
}

func TestTransientLinkIsNotReported(t *testing.T) {
	a, b := newEndpoint(t, "a", 4), newEndpoint(t, "b", 4)
	to := model.Instance{ID: "b", PeerAddress: b.address}
	if err := a.manager.SendTo(t.Context(), to, wire.KeyResult{Request: "r"}); err != nil {
		t.Fatal(err)
	}
	next[control.Received](t, b)
	if len(a.events) != 0 {
		t.Errorf("a received %+v", <-a.events)
	}
}

func TestSendToRejectsOtherInstanceAtAddress(t *testing.T) {
	a, b := newEndpoint(t, "a", 4), newEndpoint(t, "b", 4)
	to := model.Instance{ID: "c", PeerAddress: b.address}
	if err := a.manager.SendTo(t.Context(), to, wire.KeyResult{Request: "r"}); err == nil {
		t.Error("want an error: b answered for c")
	}
}

func TestAcceptedLinksAreBounded(t *testing.T) {
	a, b, c := newEndpoint(t, "a", 4), newEndpoint(t, "b", 1), newEndpoint(t, "c", 4)
	a.manager.Open("b", b.address)
	next[control.LinkUp](t, b)
	c.manager.Open("b", b.address)
	if down := next[control.LinkDown](t, c); !down.Failed {
		t.Errorf("%+v", down)
	}
}

// dialRaw opens a WebSocket without a manager and sends a Hello as instance "raw".
func dialRaw(t *testing.T, address string) *websocket.Conn {
	t.Helper()
	ws, _, err := websocket.Dial(t.Context(), "ws://"+address+link.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ws.CloseNow() })
	hello, err := wire.Encode(wire.Hello{Instance: model.Instance{ID: "raw"}})
	if err != nil {
		t.Fatal(err)
	}
	write(t, ws, hello)
	return ws
}

func write(t *testing.T, ws *websocket.Conn, data []byte) {
	t.Helper()
	if err := ws.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		t.Fatal(err)
	}
}

func TestUndecodableMessagesAreCountedAndLinkStays(t *testing.T) {
	b := newEndpoint(t, "b", 4)
	ws := dialRaw(t, b.address)
	next[control.LinkUp](t, b)
	write(t, ws, []byte("no cbor"))
	write(t, ws, []byte{0xa3, 1, 1, 2, 0x19, 0xff, 0xfe, 3, 0xa0}) // kind 65534
	good, err := wire.Encode(wire.KeyResult{Request: "r"})
	if err != nil {
		t.Fatal(err)
	}
	write(t, ws, good)
	next[control.Received](t, b)
	c := &b.manager.Counters
	if c.Malformed.Load() != 1 || c.Unknown.Load() != 1 {
		t.Errorf("malformed %d, unknown %d, want 1 and 1", c.Malformed.Load(), c.Unknown.Load())
	}
}

func TestOversizedMessageClosesLink(t *testing.T) {
	b := newEndpoint(t, "b", 4)
	ws := dialRaw(t, b.address)
	next[control.LinkUp](t, b)
	// The peer may close during this write, so its error does not matter.
	_ = ws.Write(t.Context(), websocket.MessageBinary, make([]byte, wire.MaxMessageBytes+1))
	next[control.LinkDown](t, b)
}

func TestLinkWithoutHelloIsClosed(t *testing.T) {
	b := newEndpoint(t, "b", 4)
	ws, _, err := websocket.Dial(t.Context(), "ws://"+b.address+link.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer ws.CloseNow()
	data, err := wire.Encode(wire.KeyResult{})
	if err != nil {
		t.Fatal(err)
	}
	write(t, ws, data)
	for {
		if _, _, err := ws.Read(t.Context()); err != nil {
			break
		}
	}
	if len(b.events) != 0 {
		t.Errorf("b received %+v", <-b.events)
	}
}

// A panic in a link's goroutine must close only that link. Unrecovered, it would end the
// process and all requests in flight.
func TestPanicInLinkGoroutineIsReportedAndClosesLink(t *testing.T) {
	failed := make(chan error, 1)
	a, b := newEndpoint(t, "a", 4), newEndpoint(t, "b", 4)
	broken := link.New(link.Config{
		Self: func() model.Instance { return model.Instance{ID: "c", Incarnation: 1} },
		Sink: func(ev control.Event) {
			if _, ok := ev.(control.Received); ok {
				panic("the cause")
			}
		},
		OnPanic:     func(err error) { failed <- err },
		MaxAccepted: 4,
	})
	s := httptest.NewServer(broken.Handler())
	t.Cleanup(s.Close)
	t.Cleanup(broken.Close)
	a.manager.Open("c", strings.TrimPrefix(s.URL, "http://"))
	next[control.LinkUp](t, a)
	a.manager.Send("c", wire.LoadProbe{})
	if err := <-failed; !strings.Contains(err.Error(), "the cause") {
		t.Errorf("error %v", err)
	}
	if down := next[control.LinkDown](t, a); down.Peer != "c" {
		t.Errorf("down: %+v", down)
	}
	// Links to other endpoints still work.
	a.manager.Open("b", b.address)
	next[control.LinkUp](t, a)
}
