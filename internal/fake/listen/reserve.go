package listen

import (
	"net"
	"os"
	"syscall"
)

// backlog is the length of the accept queue of a listening socket.
const backlog = 512

// portReservation is a bound socket that does not listen. It keeps the port from being
// reused: the operating system may assign a free port of the ephemeral range to a client
// that dials this very port, and that client would then connect to itself.
type portReservation struct{ file *os.File }

// reservePort binds address without listening.
func reservePort(address net.Addr) (*portReservation, error) {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return nil, ErrNotTCP
	}
	family, sockaddr := socketAddress(tcp)
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	if err := bindExclusive(fd, sockaddr); err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	return &portReservation{file: os.NewFile(uintptr(fd), "reserved "+address.String())}, nil
}

// bindExclusive binds although connections of the former listener may still use the port,
// and then prevents other sockets from binding to it.
func bindExclusive(fd int, sockaddr syscall.Sockaddr) error {
	if err := setReuse(fd, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, sockaddr); err != nil {
		return os.NewSyscallError("bind", err)
	}
	return setReuse(fd, 0)
}

func setReuse(fd, value int) error {
	return os.NewSyscallError("setsockopt", syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, value))
}

func socketAddress(a *net.TCPAddr) (family int, sockaddr syscall.Sockaddr) {
	if ip := a.IP.To4(); ip != nil {
		return syscall.AF_INET, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(ip)}
	}
	return syscall.AF_INET6, &syscall.SockaddrInet6{Port: a.Port, Addr: [16]byte(a.IP.To16())}
}

// listen turns the reservation into a listener. After a success the reservation must not
// be used again.
func (r *portReservation) listen() (net.Listener, error) {
	if err := setReuse(int(r.file.Fd()), 1); err != nil {
		return nil, err
	}
	if err := syscall.Listen(int(r.file.Fd()), backlog); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	l, err := net.FileListener(r.file) // duplicates the socket
	if err != nil {
		return nil, err
	}
	return l, r.file.Close()
}

func (r *portReservation) close() error { return r.file.Close() }
