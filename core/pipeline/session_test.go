package pipeline

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/retry"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// Each file testdata/*.session holds a session: lines that configure the machine,
// followed by one event per line.
//
//	stages NAME:FLAGS...   flags: i idempotent, n not idempotent, a part of the answer
//	servers ID...          the servers of every pool, in order of preference
//	adopt ATTEMPT...       attempts sent by a failed entry
//	live | hedge D | retry-wait D | reference N | deadline D | max-answer N
//	TIME EVENT ARGS...
//
// The golden file repeats each event, followed by the resulting actions. Some events,
// actions and fields have short names in these files:
//
//	lost                        the event StreamLost, with one of the causes
//	  broken, silent            ConnectionBroken, ConnectionSilent
//	  not-sent, gone            NotConnected, ConnectionRefused
//	drop                        the action CloseStream
//	keep-over                   the field KeepOverBytes of the action Send

// session runs a session file and is the Decider of its machine.
type session struct {
	t          *testing.T
	opts       Options
	servers    []string
	hedgeDelay time.Duration
	retryWait  time.Duration
	machine    *Machine
	// sentChunks holds the chunks of each attempt, from which the chunk count and
	// checksum of its done event are computed.
	sentChunks map[Attempt][]string
	transcript strings.Builder
}

var epoch = time.Unix(1000, 0)

func (s *session) Place(_ time.Time, q *PlacementQuery) (Server, bool) {
	for _, id := range s.servers {
		if !contains(q.Exclude, id) {
			return Server{ID: id, Addr: id}, true
		}
	}
	return Server{}, false
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (s *session) RecordRequest(time.Time) {}

func (s *session) Retry(_ time.Time, a *retry.FailedAttempt) (time.Duration, bool) {
	return s.retryWait, a.Attempts < 3
}

func (s *session) HedgeDelay(time.Time, *schema.Stage, time.Duration) (time.Duration, bool) {
	return s.hedgeDelay, s.hedgeDelay > 0
}

func (s *session) AllowHedge(time.Time) bool { return s.hedgeDelay > 0 }

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

func parseInt(t *testing.T, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// applyOption applies a line that configures the machine; it returns false if the line
// is an event.
func (s *session) applyOption(f []string) bool {
	switch f[0] {
	case "stages":
		s.opts.Pipeline = &schema.Pipeline{Name: "p"}
		for _, st := range f[1:] {
			name, flags, _ := strings.Cut(st, ":")
			s.opts.Pipeline.Stages = append(s.opts.Pipeline.Stages, schema.Stage{
				Name: name, Pool: name, ServerCall: name,
				Idempotent: strings.Contains(flags, "i"), InAnswer: strings.Contains(flags, "a"),
			})
		}
	case "adopt":
		for _, id := range f[1:] {
			s.opts.AdoptedAttempts = append(s.opts.AdoptedAttempts, AdoptedAttempt{Attempt: s.parseAttempt(id), Server: Server{ID: "kept", Addr: "kept"}})
		}
	case "servers":
		s.servers = f[1:]
	case "live":
		s.opts.Streaming = true
	case "hedge":
		s.hedgeDelay = parseDuration(s.t, f[1])
	case "retry-wait":
		s.retryWait = parseDuration(s.t, f[1])
	case "reference":
		s.opts.ReferenceThresholdBytes = parseInt(s.t, f[1])
	case "deadline":
		s.opts.Deadline = epoch.Add(parseDuration(s.t, f[1]))
	case "max-answer":
		s.opts.MaxAnswerBytes = parseInt(s.t, f[1])
	default:
		return false
	}
	return true
}

func (s *session) parseAttempt(text string) Attempt {
	stage, n, _ := strings.Cut(text, "/")
	return Attempt{Stage: uint32(parseInt(s.t, stage)), Number: uint32(parseInt(s.t, n))}
}

// parseEvent parses an event without its time.
func (s *session) parseEvent(f []string) Event {
	if len(f) == 1 {
		switch f[0] {
		case "start":
			return Start{}
		case "tick":
			return Tick{}
		case "caller-cancel":
			return CallerCancel{}
		case "delivered":
			return Delivered{}
		}
		s.t.Fatalf("unknown event %q", f[0])
	}
	id, arg := s.parseAttempt(f[1]), f[2:]
	switch f[0] {
	case "accepted":
		return Accepted{Attempt: id, Attached: contains(arg, "attached")}
	case "refused", "failed":
		code, ran := result.Code(parseInt(s.t, arg[0])), result.ParseRan(arg[1])
		if f[0] == "failed" {
			return Failed{Attempt: id, Code: code, Ran: ran}
		}
		ev := Refused{Attempt: id, Code: code, Ran: ran}
		if len(arg) > 2 {
			ev.Holder = &ClaimHolder{RequestID: "other", Server: Server{ID: arg[2], Addr: arg[2]}, Incarnation: 9}
		}
		return ev
	case "chunk":
		text, err := strconv.Unquote(arg[1])
		assert.NilError(s.t, err)
		seq := uint64(parseInt(s.t, arg[0]))
		if seq == uint64(len(s.sentChunks[id]))+1 {
			s.sentChunks[id] = append(s.sentChunks[id], text)
		}
		return Chunk{Attempt: id, Seq: seq, Data: []byte(text), Tokens: 1}
	case "done":
		return s.parseDone(id, arg)
	case "lost":
		return StreamLost{Attempt: id, Cause: map[string]StreamLostCause{"broken": ConnectionBroken, "silent": ConnectionSilent, "not-sent": NotConnected, "gone": ConnectionRefused}[arg[0]]}
	case "cancelled":
		return CancelReply{Attempt: id, State: map[string]CancelState{
			"unknown": CancelUnknown, "not-run": CancelNotRun, "running": CancelRunning, "finished": CancelFinished}[arg[0]]}
	}
	s.t.Fatalf("unknown event %q", f[0])
	return nil
}

// parseDone builds the Done of a complete result. The arguments "ref N", "count N" and
// "checksum N" override the corresponding field.
func (s *session) parseDone(id Attempt, arg []string) Done {
	d := Done{Attempt: id, ChunkCount: uint64(len(s.sentChunks[id])), Checksum: xxhash.Sum64String(strings.Join(s.sentChunks[id], ""))}
	if len(arg) == 2 {
		n := parseInt(s.t, arg[1])
		switch arg[0] {
		case "ref":
			d.Ref = &Ref{Instance: "holder", Size: n}
		case "count":
			d.ChunkCount = uint64(n)
		case "checksum":
			d.Checksum = uint64(n)
		}
	}
	return d
}

// describe formats an action as in the golden files.
func describe(a Action) string {
	switch a := a.(type) {
	case Send:
		input := strconv.Quote(string(a.Input.Data))
		if a.Input.Ref != nil {
			input = fmt.Sprintf("ref %d at %s", a.Input.Ref.Size, a.Input.Ref.Instance)
		}
		return fmt.Sprintf("send %s to %s input %s keep-over %d", a.Attempt, a.Server.ID, input, a.KeepOverBytes)
	case Attach:
		if a.Holder != nil {
			return fmt.Sprintf("attach %s at %s from %d holder %s", a.Attempt, a.Server.ID, a.FromSeq, a.Holder.RequestID)
		}
		return fmt.Sprintf("attach %s at %s from %d", a.Attempt, a.Server.ID, a.FromSeq)
	case Cancel:
		return fmt.Sprintf("cancel %s at %s", a.Attempt, a.Server.ID)
	case Ack:
		return fmt.Sprintf("ack %s at %s", a.Attempt, a.Server.ID)
	case CloseStream:
		return fmt.Sprintf("drop %s", a.Attempt)
	case Emit:
		return fmt.Sprintf("emit %d %s %q", a.Seq, a.Stage, a.Text)
	case Finish:
		if a.Err == nil {
			return fmt.Sprintf("finish complete chunks %d checksum %016x", a.Chunks, a.Checksum)
		}
		return fmt.Sprintf("finish %s ran %s effects %s chunks %d retry-after %s",
			a.Err.Code, a.Err.Ran, a.Err.Effects, a.Chunks, a.Err.RetryAfter)
	}
	return "unknown action"
}

// run feeds the file to the machine and records the transcript.
func (s *session) run(path string) {
	file, err := os.Open(path)
	assert.NilError(s.t, err)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		fmt.Fprintln(&s.transcript, line)
		f := strings.Fields(line)
		if s.applyOption(f) {
			continue
		}
		if s.machine == nil {
			s.opts.Decider = s
			s.machine = New(s.opts)
		}
		now := epoch.Add(parseDuration(s.t, f[0]))
		for _, a := range s.machine.Step(now, s.parseEvent(f[1:])) {
			fmt.Fprintln(&s.transcript, "   ", describe(a))
		}
		if wake := s.machine.NextTick(); !wake.IsZero() {
			fmt.Fprintln(&s.transcript, "    wake", wake.Sub(epoch))
		}
	}
	assert.NilError(s.t, lines.Err())
}

// TestSessions compares the transcript of each session with its golden file.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.session")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".session")
		t.Run(name, func(t *testing.T) {
			s := &session{t: t, sentChunks: map[Attempt][]string{}, servers: []string{"s1", "s2", "s3"}}
			s.opts = Options{RequestID: "r", Body: []byte("body"), Deadline: epoch.Add(3 * time.Second)}
			s.run(path)
			golden.Assert(t, s.transcript.String(), name+".golden")
		})
	}
}
