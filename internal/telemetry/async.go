package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the lines that wait to be written.
	maxQueuedLines = 2048
	maxQueuedBytes = 2 << 20
	// batchTime is how long lines are collected for one write.
	batchTime = 50 * time.Millisecond
	// maxBatchBytes is the size from which no more lines are added to a write.
	maxBatchBytes = 32 << 10
)

// AsyncWriter passes lines to a slow writer without blocking the caller. Lines that do
// not fit into its queue are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// queued is the number of bytes in lines.
	queued atomic.Int64
	// stop ends the background goroutine; done is closed once it has ended.
	stop, done chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out until Close is called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	if w.queued.Add(int64(len(p))) > maxQueuedBytes || !w.tryQueue(p) {
		w.queued.Add(-int64(len(p)))
		w.dropped.Add(1)
	}
	return len(p), nil
}

// tryQueue queues a line, and reports whether there was space for it.
func (w *AsyncWriter) tryQueue(p []byte) bool {
	select {
	case w.lines <- bytes.Clone(p):
		return true
	default:
		return false
	}
}

// dequeued counts a line that has left the queue, and returns it.
func (w *AsyncWriter) dequeued(line []byte) []byte {
	w.queued.Add(-int64(len(line)))
	return line
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines, waiting at most limit. Later lines are lost.
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
		line, ok := w.nextLine()
		if !ok {
			return
		}
		buf := w.batch(line)
		if n := w.dropped.Load(); n > reported {
			buf = fmt.Appendf(buf, "{\"level\":\"WARN\",\"msg\":\"Log lines dropped.\",\"lines\":%d}\n", n-reported)
			reported = n
		}
		_, _ = w.out.Write(buf)
	}
}

// nextLine waits for a line. It returns false if the writer is closed and the queue is
// empty.
func (w *AsyncWriter) nextLine() ([]byte, bool) {
	select {
	case line := <-w.lines:
		return w.dequeued(line), true
	case <-w.stop:
	}
	select {
	case line := <-w.lines:
		return w.dequeued(line), true
	default:
		return nil, false
	}
}

// batch appends queued lines to line until the batch is full or batchTime has passed.
func (w *AsyncWriter) batch(line []byte) []byte {
	buf := line
	timer := time.NewTimer(batchTime)
	defer timer.Stop()
	for len(buf) < maxBatchBytes {
		select {
		case next := <-w.lines:
			buf = append(buf, w.dequeued(next)...)
		case <-w.stop:
			return buf
		case <-timer.C:
			return buf
		}
	}
	return buf
}
