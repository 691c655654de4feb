package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// linkFaults are the faults that a proxy injects into its connections.
type linkFaults struct {
	// delay is added before each chunk of bytes, in both directions.
	delay time.Duration
	// blockToFar and blockFromFar hold back the bytes to and from the far side. Both
	// together act as a partition.
	blockToFar, blockFromFar bool
}

// proxy forwards TCP connections to a far address and injects faults into them.
type proxy struct {
	// listenAddress is the address of the near side, to which clients connect.
	listenAddress, farAddress string

	mu sync.Mutex
	// listener is nil while the port is closed.
	listener net.Listener
	faults   linkFaults
	changed  *sync.Cond
	conns    map[net.Conn]bool
	// The rates are shared by all connections, nil for no limit.
	toFarRate, fromFarRate *rate.Limiter
	// accepted counts the connections so far. Those up to lastMuted no longer forward
	// anything.
	accepted, lastMuted int
	closed              bool
}

// newProxy listens at address and forwards to far, at most bytesPerSecond in each direction
// unless that is zero.
func newProxy(address, far string, bytesPerSecond int) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listenAddress: l.Addr().String(), listener: l, farAddress: far, conns: map[net.Conn]bool{}}
	if bytesPerSecond > 0 {
		p.toFarRate = rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)
		p.fromFarRate = rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)
	}
	p.changed = sync.NewCond(&p.mu)
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

// closePort closes the port and all connections, as when the process behind it exits.
func (p *proxy) closePort() {
	p.mu.Lock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	p.resetAll()
}

// openPort opens the port after closePort.
func (p *proxy) openPort() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// setFaults replaces the injected faults; blocked bytes are forwarded once the block is
// lifted.
func (p *proxy) setFaults(faults linkFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.changed.Broadcast()
}

// resetAll closes all open connections with a TCP reset.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Closing with a linger time of zero sends a reset.
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// muteOpen stops forwarding on all open connections for good; new ones work.
func (p *proxy) muteOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastMuted = p.accepted
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	p.closePort()
}

func (p *proxy) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go p.relay(near)
	}
}

// relay connects a near side with the far one and forwards until both directions end.
func (p *proxy) relay(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.farAddress, time.Second)
	if err != nil {
		// Resets the connection, as if the port were closed.
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		near.Close()
		return
	}
	serial := p.register(near, far)
	if serial == 0 {
		return
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go p.copyDirection(&wg, far, near, p.toFarRate, func() bool { return p.faults.blockToFar || serial <= p.lastMuted })
	go p.copyDirection(&wg, near, far, p.fromFarRate, func() bool { return p.faults.blockFromFar || serial <= p.lastMuted })
	wg.Wait()
	p.unregister(near, far)
}

// register adds a connection by its two sides and returns its number, or zero if the
// proxy is closed.
func (p *proxy) register(sides ...net.Conn) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range sides {
		if p.closed {
			c.Close()
			continue
		}
		p.conns[c] = true
	}
	if p.closed {
		return 0
	}
	p.accepted++
	return p.accepted
}

func (p *proxy) unregister(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		c.Close()
	}
}

// chunkBytes is the largest number of bytes that are delayed or blocked together.
const chunkBytes = 16 << 10

func (p *proxy) copyDirection(wg *sync.WaitGroup, to, from net.Conn, limit *rate.Limiter, blocked func() bool) {
	defer wg.Done()
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if limit != nil {
				// A chunk is never over the limiter's burst.
				_ = limit.WaitN(context.Background(), n)
			}
			p.waitWhileBlocked(blocked)
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		propagateClose(to, err)
		return
	}
}

// propagateClose closes a direction in the way in which the other side closed it:
// half-closed, so that the other direction may go on, or by a reset.
func propagateClose(to net.Conn, err error) {
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

// waitWhileBlocked waits until the bytes may be forwarded; blocked is called with p.mu
// held.
func (p *proxy) waitWhileBlocked(blocked func() bool) {
	p.mu.Lock()
	for blocked() && !p.closed {
		p.changed.Wait()
	}
	delay := p.faults.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}
