package upstream

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// takeIdle returns an idle connection on which nothing has arrived since its last response, or
// nil. What a server sends on an idle connection belongs to no request: most often it is the
// second copy of a response, or the end of the connection.
func (c *Client) takeIdle(address string) *conn {
	for {
		cn := c.popIdle(address)
		if cn == nil || time.Since(cn.idleSince) < maxIdleTime && cn.isQuiet() {
			return cn
		}
		_ = cn.Close()
	}
}

// popIdle removes and returns the connection that became idle last, or nil.
func (c *Client) popIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[address]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	cn := list[last]
	list[last] = nil
	if last == 0 {
		delete(c.idleConns, address)
	} else {
		c.idleConns[address] = list[:last]
	}
	return cn
}

// putIdle keeps a connection for the next request, unless there are enough.
func (c *Client) putIdle(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idleConns[address]) >= maxIdlePerAddress {
		_ = cn.Close()
		return
	}
	cn.idleSince = time.Now()
	c.idleConns[address] = append(c.idleConns[address], cn)
}

// isQuiet reports whether a connection is open and has nothing to read, neither in its reader nor
// in its socket. It does not wait.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var next [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}
