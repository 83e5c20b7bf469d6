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

var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + rand.IntN(lastPort-firstPort)}

// FreeAddr returns a loopback address whose port is not in use. Ports are returned in
// turn, so that this process does not get the same one again until the range is used up.
func FreeAddr() string {
	ports.Lock()
	defer ports.Unlock()
	for {
		ports.next++
		if ports.next >= lastPort {
			ports.next = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		lis, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = lis.Close()
		return addr
	}
}
