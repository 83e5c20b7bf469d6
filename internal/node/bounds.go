package node

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/core/connlimit"
	"github.com/magnoliawheel/magnoliawheel/core/readbuffer"
	"github.com/magnoliawheel/magnoliawheel/internal/inbound"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

const (
	// probeBytes is the memory for the connections of readiness checks, and for those of metrics.
	probeBytes = 2 << 20
	// minReceiveBuffer and receiveBufferDivisor set the receive buffer of a connection: a part of
	// the memory limit, and enough for a body of 4 MiB in 5 s if a round trip takes up to 39 ms.
	minReceiveBuffer     = 32 << 10
	receiveBufferDivisor = 4096
	// peerSilenceTimeout is how long a connection of another entry may be silent; with a session
	// it sends its state several times a second.
	peerSilenceTimeout = 10 * time.Second
)

// connBounds bound the connections that an entry accepts.
type connBounds struct {
	clients, readiness, metrics, peers *inbound.Guard
	// receiveBuffer is the size of the kernel's buffer for what a connection has received.
	receiveBuffer int
}

// newConnBounds returns the bounds for the limits of the settings.
func newConnBounds(s *platform.Settings, log logr.Logger, scope tally.Scope) *connBounds {
	sockets := connlimit.SharesOf(inbound.MaxDescriptors(s.MaxDescriptors) - platform.ReservedDescriptors)
	memory := readbuffer.SharesOf(s.MemoryLimitBytes)
	b := &connBounds{receiveBuffer: int(max(minReceiveBuffer, s.MemoryLimitBytes/receiveBufferDivisor))}
	options := func(name string, connections int, bytes int64) inbound.Options {
		return inbound.Options{
			Name: name, Limits: connlimit.Limits{Connections: connections, Bytes: bytes}, ReceiveBufferBytes: b.receiveBuffer, Log: log, Scope: scope,
		}
	}
	b.clients = inbound.NewGuard(options("clients", sockets.Clients, memory.Clients))
	b.readiness = inbound.NewGuard(options("readiness", sockets.Readiness, probeBytes))
	b.metrics = inbound.NewGuard(options("metrics", sockets.Metrics, probeBytes))
	peers := options("entries", sockets.Peers, memory.Peers)
	// All other entries may connect at the same moment, when this one becomes the first.
	peers.Backlog, peers.SilenceTimeout = sockets.Peers, peerSilenceTimeout
	b.peers = inbound.NewGuard(peers)
	return b
}
