package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait to be written.
	asyncLines = 2048
	// asyncGather is how long lines are gathered for one write.
	asyncGather = 50 * time.Millisecond
	// asyncWrite bounds the bytes of one write.
	asyncWrite = 32 << 10
)

// AsyncWriter hands lines to a slow writer without waiting for it. Lines beyond its
// bound are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// stop ends the writer; done is closed once it ended.
	stop, done chan struct{}
}

// NewAsyncWriter returns a writer in front of out. Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits, for at most the given time. Lines written later are lost.
func (w *AsyncWriter) Close(limit time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var reported uint64
	for {
		line, ok := w.next()
		if !ok {
			return
		}
		buf := w.gather(line)
		if n := w.dropped.Load(); n > reported {
			buf = fmt.Appendf(buf, "{\"level\":\"WARN\",\"msg\":\"Log lines dropped.\",\"lines\":%d}\n", n-reported)
			reported = n
		}
		_, _ = w.out.Write(buf)
	}
}

// next waits for a line; false if the writer is closed and none waits.
func (w *AsyncWriter) next() ([]byte, bool) {
	select {
	case line := <-w.lines:
		return line, true
	case <-w.stop:
	}
	select {
	case line := <-w.lines:
		return line, true
	default:
		return nil, false
	}
}

// gather joins the lines that wait to line.
func (w *AsyncWriter) gather(line []byte) []byte {
	buf := line
	timer := time.NewTimer(asyncGather)
	defer timer.Stop()
	for len(buf) < asyncWrite {
		select {
		case next := <-w.lines:
			buf = append(buf, next...)
		case <-w.stop:
			return buf
		case <-timer.C:
			return buf
		}
	}
	return buf
}
