// Package readbuffer decides how much data a process holds for readers that are slower than
// the sources of the data, and which of the readers is ended first when the memory for all of
// them is exhausted. It holds no data itself, does no I/O, and the time is a parameter.
package readbuffer

import (
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time constant with which a measured rate follows the reader. It is
	// shorter than the time after which servers cut off a response that is not read.
	rateWindow = 2 * time.Second
	// startRate is the rate, in bytes per second, that a reader is presumed to have until it
	// is measured, and the highest one that is told apart. With it a new reader is not
	// mistaken for a slow one.
	startRate = 4 << 20
	// minRate is the lowest rate that is told apart, in bytes per second.
	minRate = 1
)

// Limits are the bounds of the held data in bytes.
type Limits struct {
	// Total bounds the data of all streams together, PerStream that of one of them.
	Total, PerStream int64
}

// Verdict is the answer to a reservation.
type Verdict uint8

// The verdicts on a reservation.
const (
	// Granted reservations count from now on.
	Granted Verdict = iota
	// Pause means that the stream has reached its own bound; its source must not be read
	// until the reader has taken some of its data.
	Pause
	// Ended means that the stream itself was ended, now or before.
	Ended
)

// Stream is the data held for one reader.
type Stream struct {
	held int64
	// rate is the number of bytes per second that the reader took while data was held,
	// weighted by age; valid at updatedAt.
	rate      float64
	updatedAt time.Duration
	ended     bool
}

// Held returns the number of bytes that the stream holds.
func (s *Stream) Held() int64 { return s.held }

// Rate returns the rate of the reader in bytes per second.
func (s *Stream) Rate(now time.Duration) float64 {
	s.update(now)
	return max(s.rate, minRate)
}

// DrainTime returns how long the reader takes for the held data at its rate.
func (s *Stream) DrainTime(now time.Duration) time.Duration {
	return time.Duration(float64(s.held) / s.Rate(now) * float64(time.Second))
}

// update lets the rate decrease for the time in which the reader could have read. Time
// without data says nothing about the reader.
func (s *Stream) update(now time.Duration) {
	if now <= s.updatedAt {
		return
	}
	if s.held > 0 {
		s.rate *= math.Exp(-float64(now-s.updatedAt) / float64(rateWindow))
	}
	s.updatedAt = now
}

// Pool decides about the streams of a process. It is not safe for concurrent use.
type Pool struct {
	limits  Limits
	held    int64
	streams []*Stream
}

// NewPool returns a pool without streams.
func NewPool(l Limits) *Pool { return &Pool{limits: l} }

// Held returns the number of bytes that all streams hold.
func (p *Pool) Held() int64 { return p.held }

// Limits returns the bounds of the pool.
func (p *Pool) Limits() Limits { return p.limits }

// Join adds a stream without data.
func (p *Pool) Join(now time.Duration) *Stream {
	s := &Stream{rate: startRate, updatedAt: now}
	p.streams = append(p.streams, s)
	return s
}

// Leave removes a stream with its data. A stream that was ended has left already.
func (p *Pool) Leave(s *Stream) {
	if s.ended {
		return
	}
	s.ended = true
	p.held -= s.held
	if i := slices.Index(p.streams, s); i >= 0 {
		p.streams = slices.Delete(p.streams, i, i+1)
	}
}

// Reserve reserves memory for n more bytes of a stream. If the total is exhausted, it ends
// the streams that take the longest for what they hold until n bytes are free, and returns
// them; they may include s. The own bound of a stream does not apply while it holds nothing,
// so that it can always continue.
func (p *Pool) Reserve(now time.Duration, s *Stream, n int64) (Verdict, []*Stream) {
	if s.ended {
		return Ended, nil
	}
	if s.held > 0 && s.held+n > p.limits.PerStream {
		return Pause, nil
	}
	return p.hold(now, s, n)
}

// Resize changes the memory that a stream holds by n bytes, which may be negative. Its own
// bound does not apply: it is for data that the stream cannot pause for, such as the begun
// part of an event.
func (p *Pool) Resize(now time.Duration, s *Stream, n int64) (Verdict, []*Stream) {
	if s.ended {
		return Ended, nil
	}
	return p.hold(now, s, n)
}

// hold counts n more bytes of a stream and ends streams while the total is exceeded.
func (p *Pool) hold(now time.Duration, s *Stream, n int64) (Verdict, []*Stream) {
	s.update(now)
	s.held += n
	p.held += n
	var ended []*Stream
	for p.held > p.limits.Total {
		slowest := p.EndSlowest(now, 0)
		if slowest == nil {
			break
		}
		ended = append(ended, slowest)
	}
	if s.ended {
		return Ended, ended
	}
	return Granted, ended
}

// Written records that the reader of a stream took n bytes.
func (p *Pool) Written(now time.Duration, s *Stream, n int) {
	s.update(now)
	s.rate = min(s.rate+float64(n)/rateWindow.Seconds(), startRate)
}

// EndSlowest ends the stream with the longest DrainTime, if it holds data and its time is at
// least the given one, and returns it, or nil. Of equal ones, the one that holds most is
// ended.
func (p *Pool) EndSlowest(now, atLeast time.Duration) *Stream {
	var slowest *Stream
	var longest time.Duration
	for _, s := range p.streams {
		t := s.DrainTime(now)
		if s.held == 0 || t < atLeast {
			continue
		}
		if slowest == nil || t > longest || t == longest && s.held > slowest.held {
			slowest, longest = s, t
		}
	}
	if slowest != nil {
		p.Leave(slowest)
	}
	return slowest
}
