package node

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
)

const (
	// listenRetryInterval is the time between two attempts to listen; a process that was
	// killed may still hold its address for a moment.
	listenRetryInterval = 100 * time.Millisecond
	maxListenAttempts   = 30
)

// errStopped means that the entry was told to stop before it listened.
var errStopped = errors.New("node: stopped before it listened")

// listeners are the listeners of an entry.
type listeners struct {
	peers, clients, readiness net.Listener
}

// listen opens all listeners. It returns errStopped if stop is closed while an address is
// still in use.
func (n *Node) listen(stop <-chan struct{}) (*listeners, error) {
	l := &listeners{}
	s := n.opts.Settings
	for _, x := range []struct {
		address string
		guard   *inbound.Guard
		lis     *net.Listener
	}{
		{n.peerAddress(), n.bounds.peers, &l.peers},
		{s.ClientAddress, n.bounds.clients, &l.clients},
		{s.ReadinessAddress, n.bounds.readiness, &l.readiness},
	} {
		lis, err := listen(x.address, x.guard, stop)
		if err != nil {
			l.close()
			return nil, err
		}
		*x.lis = lis
	}
	return l, nil
}

// close closes the listeners that are open.
func (l *listeners) close() {
	for _, lis := range []net.Listener{l.peers, l.clients, l.readiness} {
		if lis != nil {
			_ = lis.Close()
		}
	}
}

// listen listens on an address for connections of a guard. It retries until stop is closed,
// because another process may still hold the address for a moment.
func listen(address string, guard *inbound.Guard, stop <-chan struct{}) (net.Listener, error) {
	var err error
	for range maxListenAttempts {
		var lis net.Listener
		if lis, err = guard.Open(address); err == nil {
			return lis, nil
		}
		select {
		case <-stop:
			return nil, errors.Wrapf(errStopped, "listen on %s", address)
		case <-time.After(listenRetryInterval):
		}
	}
	return nil, errors.Wrapf(err, "listen on %s", address)
}
