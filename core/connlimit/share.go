package connlimit

// The sockets of a process are divided into shares. Each request in progress takes one socket for
// its client and one for its server, so that these two get about the same.
const (
	clientShare = 0.45
	peerShare   = 0.1
	// probeShare is for readiness checks and for metrics each, of which there are few.
	probeShare      = 0.1
	maxProbeSockets = 32
)

// Shares are the largest numbers of accepted connections by their kind. The rest of the sockets is
// for servers, the store, and connections to other entries.
type Shares struct {
	Clients, Peers, Readiness, Metrics int
}

// SharesOf returns the shares of a number of sockets.
func SharesOf(sockets int) Shares {
	part := func(share float64) int { return max(1, int(share*float64(sockets))) }
	probes := min(part(probeShare), maxProbeSockets)
	return Shares{Clients: part(clientShare), Peers: part(peerShare), Readiness: probes, Metrics: probes}
}
