package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// wire is how a proxy treats the bytes of its connections.
type wire struct {
	// delay is added before each piece of bytes, in both directions.
	delay time.Duration
	// cutTo and cutFrom hold back what goes to the far side, and what comes from it.
	// Both together are silence.
	cutTo, cutFrom bool
}

// proxy passes TCP connections on to a far address and harms them on demand.
type proxy struct {
	// near is the address that it listens at.
	near, far string

	mu sync.Mutex
	// listener is nil while the port is closed.
	listener net.Listener
	wire     wire
	calm     *sync.Cond
	conns    map[net.Conn]bool
	// joined counts the connections so far. Those up to muted pass nothing on any more.
	joined, muted int
	over          bool
}

// newProxy listens at address and passes on to far.
func newProxy(address, far string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{near: l.Addr().String(), listener: l, far: far, conns: map[net.Conn]bool{}}
	p.calm = sync.NewCond(&p.mu)
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.near }

// shut closes the port with all connections, as when the process behind it ends.
func (p *proxy) shut() {
	p.mu.Lock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	p.reset()
}

// open opens the port after shut.
func (p *proxy) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over || p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.near)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// set changes how bytes are treated from now on; bytes that a cut held back go on once
// it ends.
func (p *proxy) set(w wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wire = w
	p.calm.Broadcast()
}

// reset ends all open connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With no time to linger, closing resets.
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// mute makes all open connections silent for good; new ones work.
func (p *proxy) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted = p.joined
}

func (p *proxy) close() {
	p.mu.Lock()
	p.over = true
	p.calm.Broadcast()
	p.mu.Unlock()
	p.shut()
}

func (p *proxy) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go p.join(near)
	}
}

// join connects a near side with the far one.
func (p *proxy) join(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.far, time.Second)
	if err != nil {
		// As if the port were closed.
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		near.Close()
		return
	}
	serial := p.keep(near, far)
	if serial == 0 {
		return
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go p.copy(&wg, far, near, func() bool { return p.wire.cutTo || serial <= p.muted })
	go p.copy(&wg, near, far, func() bool { return p.wire.cutFrom || serial <= p.muted })
	wg.Wait()
	p.drop(near, far)
}

// keep notes a connection by its two sides and returns its number, zero when the proxy
// is over.
func (p *proxy) keep(sides ...net.Conn) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range sides {
		if p.over {
			c.Close()
			continue
		}
		p.conns[c] = true
	}
	if p.over {
		return 0
	}
	p.joined++
	return p.joined
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		c.Close()
	}
}

// pieceBytes is the size of the pieces that are delayed and held back.
const pieceBytes = 16 << 10

func (p *proxy) copy(wg *sync.WaitGroup, to, from net.Conn, held func() bool) {
	defer wg.Done()
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.hold(held)
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		passEnd(to, err)
		return
	}
}

// passEnd ends a direction as it ended on the other side: in order, so that the other
// direction may go on, or by a reset.
func passEnd(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !ok {
		to.Close()
		return
	}
	if err == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	_ = tcp.SetLinger(0)
	tcp.Close()
}

// hold waits as long as the wire asks for; held is called with mu held.
func (p *proxy) hold(held func() bool) {
	p.mu.Lock()
	for held() && !p.over {
		p.calm.Wait()
	}
	delay := p.wire.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}
