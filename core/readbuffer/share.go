package readbuffer

// The memory limit of a process is divided into shares. At 144 MiB, the smallest limit:
//
//	responses that are held as a whole   1/4   36.0 MiB
//	buffers of streams                   1/7   20.6 MiB
//	bodies of requests                   1/8   18.0 MiB
//	the rest of the process                    69.4 MiB
//
// The rest covers the 64 MiB that a process may need for its own state. Measured processes use
// less than half of it, which leaves more than 30 KiB for each of 1,000 connections.
const (
	responsesDivisor = 4
	streamsDivisor   = 7
	requestsDivisor  = 8
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
		Streams:   Limits{Total: streams, PerStream: streams / streamDivisor},
	}
}
