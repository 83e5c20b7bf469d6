package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// FreeAddr returns ports from a range below the one that Linux uses for outgoing
// connections, so that no outgoing connection occupies a port before a process listens
// on it.
const (
	firstPort = 12000
	lastPort  = 32000
)

// portsPerBlock is the number of ports that a process claims at a time.
const portsPerBlock = 100

var ports = struct {
	sync.Mutex
	// next is the next port of the claimed block, end the port after that block. claims
	// keep the first port of each claimed block in use, so that no other process takes it.
	next, end int
	claims    []net.Listener
}{}

// FreeAddr returns a loopback address whose port is not in use. Processes that run at the
// same time never return the same port, also while nothing listens on it.
func FreeAddr() string {
	ports.Lock()
	defer ports.Unlock()
	for {
		if ports.next >= ports.end {
			claimPorts()
		}
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		lis, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = lis.Close()
		return addr
	}
}

// claimPorts claims the next block of ports. The caller holds the lock.
func claimPorts() {
	blocks := (lastPort - firstPort) / portsPerBlock
	for _, block := range rand.Perm(blocks) {
		first := firstPort + block*portsPerBlock
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		ports.claims = append(ports.claims, lis)
		ports.next, ports.end = first+1, first+portsPerBlock
		return
	}
	// All blocks are claimed, most of them by this process: its oldest one is used again.
	first := ports.claims[0].Addr().(*net.TCPAddr).Port
	ports.claims = append(ports.claims[1:], ports.claims[0])
	ports.next, ports.end = first+1, first+portsPerBlock
}
