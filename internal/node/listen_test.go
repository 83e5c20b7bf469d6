package node

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopWhileAddressIsInUse guards against an entry that is told to stop while it waits for
// an address, serves nevertheless once the address is free, and is then killed with requests
// in flight, because its time to stop counts from when it listened.
func TestStopWhileAddressIsInUse(t *testing.T) {
	f := newFleet(t)
	e := f.newEntry("e1", 0)
	held, err := net.Listen("tcp", e.opts.Settings.ReadinessAddress)
	assert.NilError(t, err)
	defer func() { _ = held.Close() }()
	e.run()
	eventually(t, "the entry accepts connections of clients", func() bool {
		conn, err := net.Dial("tcp", e.opts.Settings.ClientAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	stopped := time.Now()
	e.stop()
	<-e.done
	assert.Assert(t, time.Since(stopped) < maxListenAttempts*listenRetryInterval/3, "the entry took %v to stop", time.Since(stopped))
	_, err = net.Dial("tcp", e.opts.Settings.ClientAddress)
	assert.ErrorContains(t, err, "refused")
}
