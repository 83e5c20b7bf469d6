package readbuffer

// The memory limit of a process is divided into shares. At 144 MiB, the smallest limit:
//
//	responses that are held as a whole   1/4   36.0 MiB
//	buffers of streams                   1/7   20.6 MiB
//	bodies of requests                   1/8   18.0 MiB
//	connections of clients               1/5   28.8 MiB
//	connections of other entries         1/32   4.5 MiB
//	the rest of the process                    36.1 MiB
//
// The rest is for the process's own state. The share of connections is for their buffers, the heads
// of their requests, and what they have sent ahead.
const (
	responsesDivisor = 4
	streamsDivisor   = 7
	requestsDivisor  = 8
	clientsDivisor   = 5
	peersDivisor     = 32
	// defaultMemoryLimit applies if the process has no limit.
	defaultMemoryLimit = 192 << 20
	// maxResponsesBytes bounds the share of responses, however much memory there is.
	maxResponsesBytes = 48 << 20
	// streamDivisor is the part of the share of all streams that one may hold. 20 MiB allow
	// 1,000 streams of 20 KiB each, and 1.3 MiB for one.
	streamDivisor = 16
)

// Shares are the shares of the memory limit in bytes.
type Shares struct {
	// Responses is for responses that are held as a whole, Requests for the bodies of
	// requests.
	Responses, Requests int64
	// Clients and Peers are for the connections of clients and of other entries.
	Clients, Peers int64
	// Streams is for the buffers of streams.
	Streams Limits
}

// SharesOf returns the shares of a memory limit; 0 means that there is none.
func SharesOf(memoryLimit int64) Shares {
	if memoryLimit <= 0 {
		memoryLimit = defaultMemoryLimit
	}
	streams := memoryLimit / streamsDivisor
	return Shares{
		Responses: min(memoryLimit/responsesDivisor, maxResponsesBytes),
		Requests:  memoryLimit / requestsDivisor,
		Clients:   memoryLimit / clientsDivisor,
		Peers:     memoryLimit / peersDivisor,
		Streams:   Limits{Total: streams, PerStream: streams / streamDivisor},
	}
}
