package harness

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRelaySilencesOpenConnectionsOnly(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	go echo(lis)
	r, err := StartRelay(lis.Addr().String())
	assert.NilError(t, err)
	defer r.Close()

	old := dialEcho(t, r.Addr())
	defer func() { _ = old.Close() }()
	assert.Equal(t, r.Silence(), 1)
	_, err = old.Write([]byte("x"))
	assert.NilError(t, err)
	fresh := dialEcho(t, r.Addr())
	assert.NilError(t, fresh.Close())
	// The relay closes the silent connection without passing on what was sent.
	r.Close()
	_, err = old.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

func dialEcho(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	_, err = c.Write([]byte("hi"))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 2))
	assert.NilError(t, err)
	return c
}

func echo(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}
