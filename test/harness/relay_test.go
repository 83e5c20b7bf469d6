package harness

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRelaySilencesOpenConnectionsOnly checks that Silence silences a connection that is
// open and not one that is opened later.
func TestRelaySilencesOpenConnectionsOnly(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	go echo(lis)
	r, err := StartRelay(lis.Addr().String())
	assert.NilError(t, err)
	defer r.Close()

	silenced := dialEcho(t, r.Addr())
	defer func() { _ = silenced.Close() }()
	assert.Equal(t, r.Silence(), 1)
	_, err = silenced.Write([]byte("x"))
	assert.NilError(t, err)
	later := dialEcho(t, r.Addr())
	assert.NilError(t, later.Close())
	// Closing the relay ends the silenced connection; the byte written to it was never
	// forwarded, so that nothing is echoed.
	r.Close()
	_, err = silenced.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// dialEcho connects to an echo server and checks that it echoes.
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
