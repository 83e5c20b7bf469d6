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

// The sessions under testdata hold one event a line, after lines that set the
// machine up:
//
//	stages NAME:FLAGS...   flags: i idempotent, n not, a part of the answer
//	servers ID...          the servers of every pool, in the order of choice
//	adopt ATTEMPT...       attempts of an entry that is gone
//	live | hedge D | retry-wait D | reference N | deadline D | max-answer N
//	TIME EVENT ARGS...
//
// The golden file holds each event with the actions that followed it.

type session struct {
	t       *testing.T
	opts    Options
	servers []string
	hedge   time.Duration
	wait    time.Duration
	m       *Machine
	// sent holds the chunks of each attempt, for the count and checksum of done.
	sent map[Attempt][]string
	out  strings.Builder
}

var epoch = time.Unix(1000, 0)

func (s *session) Place(_ time.Time, q *Query) (Server, bool) {
	for _, id := range s.servers {
		if !has(q.Exclude, id) {
			return Server{ID: id, Addr: id}, true
		}
	}
	return Server{}, false
}

func has(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (s *session) Request(time.Time) {}

func (s *session) Retry(_ time.Time, a *retry.FailedAttempt) (time.Duration, bool) {
	return s.wait, a.Attempts < 3
}

func (s *session) HedgeAfter(time.Time, *schema.Stage, time.Duration) (time.Duration, bool) {
	return s.hedge, s.hedge > 0
}

func (s *session) HedgeSent(time.Time) bool { return s.hedge > 0 }

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

func number(t *testing.T, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// setUp takes a line that sets the machine up; false if it is an event.
func (s *session) setUp(f []string) bool {
	switch f[0] {
	case "stages":
		s.opts.Pipeline = &schema.Pipeline{Name: "p"}
		for _, st := range f[1:] {
			name, flags, _ := strings.Cut(st, ":")
			s.opts.Pipeline.Stages = append(s.opts.Pipeline.Stages, schema.Stage{
				Name: name, Pool: name, Call: name,
				Idempotent: strings.Contains(flags, "i"), Answer: strings.Contains(flags, "a"),
			})
		}
	case "adopt":
		for _, id := range f[1:] {
			s.opts.Adopted = append(s.opts.Adopted, Adopted{Attempt: s.attempt(id), Server: Server{ID: "kept", Addr: "kept"}})
		}
	case "servers":
		s.servers = f[1:]
	case "live":
		s.opts.Live = true
	case "hedge":
		s.hedge = duration(s.t, f[1])
	case "retry-wait":
		s.wait = duration(s.t, f[1])
	case "reference":
		s.opts.ReferenceBytes = number(s.t, f[1])
	case "deadline":
		s.opts.Deadline = epoch.Add(duration(s.t, f[1]))
	case "max-answer":
		s.opts.MaxAnswer = number(s.t, f[1])
	default:
		return false
	}
	return true
}

func (s *session) attempt(text string) Attempt {
	stage, n, _ := strings.Cut(text, "/")
	return Attempt{Stage: uint32(number(s.t, stage)), Number: uint32(number(s.t, n))}
}

func (s *session) parse(f []string) Event {
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
	id, arg := s.attempt(f[1]), f[2:]
	switch f[0] {
	case "accepted":
		return Accepted{Attempt: id, Attached: has(arg, "attached")}
	case "refused", "failed":
		code, ran := result.Code(number(s.t, arg[0])), result.ParseRan(arg[1])
		if f[0] == "failed" {
			return Failed{Attempt: id, Code: code, Ran: ran}
		}
		ev := Refused{Attempt: id, Code: code, Ran: ran}
		if len(arg) > 2 {
			ev.Holder = &Holder{RequestID: "other", Server: Server{ID: arg[2], Addr: arg[2]}, Incarnation: 9}
		}
		return ev
	case "chunk":
		text, err := strconv.Unquote(arg[1])
		assert.NilError(s.t, err)
		seq := uint64(number(s.t, arg[0]))
		if seq == uint64(len(s.sent[id]))+1 {
			s.sent[id] = append(s.sent[id], text)
		}
		return Chunk{Attempt: id, Seq: seq, Data: []byte(text), Tokens: 1}
	case "done":
		return s.done(id, arg)
	case "lost":
		return Lost{Attempt: id, Cause: map[string]LostCause{"broken": Broken, "silent": Silent, "not-sent": NotSent, "gone": Gone}[arg[0]]}
	case "cancelled":
		return CancelReply{Attempt: id, State: map[string]CancelState{
			"unknown": CancelUnknown, "not-run": CancelNotRun, "running": CancelRunning, "finished": CancelFinished}[arg[0]]}
	}
	s.t.Fatalf("unknown event %q", f[0])
	return nil
}

// done is whole unless told to lie: ref N, count N or checksum N.
func (s *session) done(id Attempt, arg []string) Done {
	d := Done{Attempt: id, Count: uint64(len(s.sent[id])), Checksum: xxhash.Sum64String(strings.Join(s.sent[id], ""))}
	if len(arg) == 2 {
		n := number(s.t, arg[1])
		switch arg[0] {
		case "ref":
			d.Ref = &Ref{Instance: "holder", Size: n}
		case "count":
			d.Count = uint64(n)
		case "checksum":
			d.Checksum = uint64(n)
		}
	}
	return d
}

func describe(a Action) string {
	switch a := a.(type) {
	case Send:
		input := strconv.Quote(string(a.Input.Data))
		if a.Input.Ref != nil {
			input = fmt.Sprintf("ref %d at %s", a.Input.Ref.Size, a.Input.Ref.Instance)
		}
		return fmt.Sprintf("send %s to %s input %s keep-over %d", a.Attempt, a.Server.ID, input, a.KeepOver)
	case Attach:
		if a.Holder != nil {
			return fmt.Sprintf("attach %s at %s from %d holder %s", a.Attempt, a.Server.ID, a.FromSeq, a.Holder.RequestID)
		}
		return fmt.Sprintf("attach %s at %s from %d", a.Attempt, a.Server.ID, a.FromSeq)
	case Cancel:
		return fmt.Sprintf("cancel %s at %s", a.Attempt, a.Server.ID)
	case Ack:
		return fmt.Sprintf("ack %s at %s", a.Attempt, a.Server.ID)
	case Drop:
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
		fmt.Fprintln(&s.out, line)
		f := strings.Fields(line)
		if s.setUp(f) {
			continue
		}
		if s.m == nil {
			s.opts.Decider = s
			s.m = New(s.opts)
		}
		now := epoch.Add(duration(s.t, f[0]))
		for _, a := range s.m.Step(now, s.parse(f[1:])) {
			fmt.Fprintln(&s.out, "   ", describe(a))
		}
		if wake := s.m.Wake(); !wake.IsZero() {
			fmt.Fprintln(&s.out, "    wake", wake.Sub(epoch))
		}
	}
	assert.NilError(s.t, lines.Err())
}

func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.session")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".session")
		t.Run(name, func(t *testing.T) {
			s := &session{t: t, sent: map[Attempt][]string{}, servers: []string{"s1", "s2", "s3"}}
			s.opts = Options{RequestID: "r", Body: []byte("body"), Deadline: epoch.Add(3 * time.Second)}
			s.run(path)
			golden.Assert(t, s.out.String(), name+".golden")
		})
	}
}
