package inbound

import (
	"context"
	"math"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listenTCP listens on an address. Connections get a receive buffer of the given size, also those
// that are not accepted yet, of which there are at most as many as the backlog says.
func listenTCP(address string, receiveBuffer, backlog int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Without the option the system's own sizes apply.
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
	}}
	lis, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if raw, err := lis.(syscall.Conn).SyscallConn(); err == nil {
		// Listening again changes the number of connections that wait. Without that, the system's
		// own number applies.
		_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), min(backlog, unix.SOMAXCONN)) })
	}
	return lis, nil
}

// MaxDescriptors returns the greatest number of descriptors that the process may open: the given
// number, unless that is 0, or that of the system, whichever is smaller.
func MaxDescriptors(configured int) int {
	var system unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &system) != nil {
		return configured
	}
	limit := int(min(system.Cur, math.MaxInt32))
	if configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

// unreadBytes returns the bytes that a connection has received and the process has not read, 0 if
// that is not known.
func unreadBytes(c net.Conn) int {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return max(n, 0)
}

// SyscallConn returns the socket of the listener.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return socket.SyscallConn()
}
