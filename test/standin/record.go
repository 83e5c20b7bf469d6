package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Outcome is the state of an execution.
type Outcome string

// Outcomes. An execution stays Started if its process was killed.
const (
	Started   Outcome = "started"
	Completed Outcome = "completed"
	Cancelled Outcome = "cancelled"
	// Failed executions had no effect.
	Failed Outcome = "failed"
)

// Execution records one execution of a call on a backend server.
type Execution struct {
	// RunID identifies the process that executed the call; RunID and Seq identify the
	// execution.
	RunID  string `json:"run"`
	Seq    int    `json:"seq"`
	Server string `json:"server"`
	// ID has the form <request id>/<stage>/<attempt>.
	ID          string    `json:"id"`
	Call        string    `json:"call"`
	Nonce       string    `json:"nonce"`
	Outcome     Outcome   `json:"outcome"`
	Start       time.Time `json:"start"`
	End         time.Time `json:"end"`
	InputBytes  int       `json:"in_bytes"`
	OutputBytes int       `json:"out_bytes"`
	Tokens      int       `json:"tokens,omitempty"`
}

// Recorder holds the executions of one stand-in. It also writes each change as a line
// of JSON, so that the records remain available after the process was killed.
type Recorder struct {
	server string
	runID  string

	mu         sync.Mutex
	executions []Execution
	sink       io.Writer
}

// NewRecorder returns an empty recorder that writes to sink, which may be nil.
func NewRecorder(server string, sink io.Writer) *Recorder {
	runID := fmt.Sprintf("%s-%d-%d", server, os.Getpid(), time.Now().UnixNano())
	return &Recorder{server: server, runID: runID, sink: sink}
}

// Begin records the start of an execution and returns its sequence number.
func (r *Recorder) Begin(id, call, nonce string, inBytes int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Execution{
		RunID: r.runID, Seq: len(r.executions), Server: r.server, ID: id, Call: call, Nonce: nonce,
		Outcome: Started, Start: time.Now(), InputBytes: inBytes,
	}
	r.executions = append(r.executions, e)
	r.writeLine(e)
	return e.Seq
}

// End records the outcome of an execution.
func (r *Recorder) End(seq int, outcome Outcome, outBytes, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.executions[seq]
	e.Outcome, e.End, e.OutputBytes, e.Tokens = outcome, time.Now(), outBytes, tokens
	r.writeLine(*e)
}

// Executions returns all executions in the order of their start.
func (r *Recorder) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}

// writeLine writes an execution to the sink as one line of JSON.
func (r *Recorder) writeLine(execution Execution) {
	if r.sink == nil {
		return
	}
	line, err := json.Marshal(execution)
	if err != nil {
		panic(err)
	}
	if _, err := r.sink.Write(append(line, '\n')); err != nil {
		fmt.Fprintln(os.Stderr, "standin: write execution record:", err)
	}
}
