package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Outcome is how an execution ended.
type Outcome string

// The outcomes. An execution of a process that was killed stays Started.
const (
	Started   Outcome = "started"
	Completed Outcome = "completed"
	Cancelled Outcome = "cancelled"
	// Failed executions had no effect.
	Failed Outcome = "failed"
)

// Execution is one execution of a call at a backend server.
type Execution struct {
	// Run names the process that executed; with Seq it identifies the execution.
	Run    string `json:"run"`
	Seq    int    `json:"seq"`
	Server string `json:"server"`
	// ID is <request id>/<stage>/<attempt>.
	ID       string    `json:"id"`
	Call     string    `json:"call"`
	Nonce    string    `json:"nonce"`
	Outcome  Outcome   `json:"outcome"`
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	InBytes  int       `json:"in_bytes"`
	OutBytes int       `json:"out_bytes"`
	Tokens   int       `json:"tokens,omitempty"`
}

// Recorder keeps the executions of one stand-in and writes each change as a line
// of JSON, so that the record outlives the process.
type Recorder struct {
	server string
	run    string

	mu   sync.Mutex
	list []Execution
	sink io.Writer
}

// NewRecorder returns an empty recorder. The sink may be nil.
func NewRecorder(server string, sink io.Writer) *Recorder {
	run := fmt.Sprintf("%s-%d-%d", server, os.Getpid(), time.Now().UnixNano())
	return &Recorder{server: server, run: run, sink: sink}
}

// Begin records the start of an execution and returns its number.
func (r *Recorder) Begin(id, call, nonce string, inBytes int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Execution{
		Run: r.run, Seq: len(r.list), Server: r.server, ID: id, Call: call, Nonce: nonce,
		Outcome: Started, Start: time.Now(), InBytes: inBytes,
	}
	r.list = append(r.list, e)
	r.write(e)
	return e.Seq
}

// End records the end of an execution.
func (r *Recorder) End(seq int, outcome Outcome, outBytes, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.list[seq]
	e.Outcome, e.End, e.OutBytes, e.Tokens = outcome, time.Now(), outBytes, tokens
	r.write(*e)
}

// All returns the executions in the order of their start.
func (r *Recorder) All() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.list...)
}

func (r *Recorder) write(e Execution) {
	if r.sink == nil {
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	if _, err := r.sink.Write(append(line, '\n')); err != nil {
		fmt.Fprintln(os.Stderr, "standin: record:", err)
	}
}
