package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports below the range that the system gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 32000
)

var ports = struct {
	sync.Mutex
	next int
}{next: firstPort + rand.IntN(lastPort-firstPort)}

// FreeAddr returns a loopback address with a port that nobody listens on and that
// this program has not returned lately.
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
