package ledger

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/magnoliawheel/magnoliawheel/core/result"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scriptRunner executes a script of operations on a ledger, one per line, and
// prints each line with its result. The first field is the time of the operation:
//
//	<ms> accept <id> budget=<ms> [reserve=<bytes>] [max=<bytes>] [effects] [shared]
//	<ms> begin|cancel|ack|refuse|unrun|get <id>
//	<ms> append <id> <bytes>
//	<ms> finish <id> <code>
//	<ms> expire
//
// "budget" is the time until the deadline, "effects" marks an attempt that is not
// idempotent, and "unrun" calls MarkNotRun. In the output, "kept" is UsedBytes, "known" is
// Len, and "spent" is the number of attempts that Expire returned.
type scriptRunner struct {
	ledger *Ledger
	out    bytes.Buffer
}

func newScriptRunner() *scriptRunner {
	return &scriptRunner{ledger: New(Options{
		MaxBytes: 1000, ResultRetention: 30 * time.Second, TombstoneRetention: 900 * time.Second,
		ReplayRetention: 60 * time.Second, MaxClosedAttempts: 4,
	})}
}

func parseID(s string) ID {
	request, attempt, _ := strings.Cut(s, "/")
	n, _ := strconv.ParseUint(attempt, 10, 32)
	return ID{Request: request, Stage: 1, Attempt: uint32(n)}
}

func (s *scriptRunner) runLine(line string) {
	fields := strings.Fields(line)
	ms, _ := strconv.Atoi(fields[0])
	now := epoch.Add(time.Duration(ms) * time.Millisecond)
	output := s.execute(now, fields[1], fields[2:])
	fmt.Fprintf(&s.out, "%-48s -> %s kept=%d known=%d\n", line, output, s.ledger.UsedBytes(), s.ledger.Len())
}

func (s *scriptRunner) execute(now time.Time, op string, args []string) string {
	if op == "expire" {
		return fmt.Sprint("spent=", len(s.ledger.Expire(now)))
	}
	id := parseID(args[0])
	switch op {
	case "accept":
		return s.ledger.Accept(now, id, parseJob(now, args[1:])).String()
	case "begin":
		return s.ledger.Begin(now, id).String()
	case "append":
		n, _ := strconv.Atoi(args[1])
		return s.ledger.Append(now, id, Chunk{Data: make([]byte, n)}).String()
	case "finish":
		code, _ := strconv.Atoi(args[1])
		s.ledger.Finish(now, id, Outcome{Code: result.Code(code), Ran: result.RanYes})
	case "refuse":
		s.ledger.Refuse(now, id, Outcome{Code: result.QueueFull, Ran: result.RanNo})
	case "unrun":
		s.ledger.MarkNotRun(now, id, Outcome{Code: result.ServerFailed, Ran: result.RanNo})
	case "cancel":
		return s.ledger.Cancel(now, id).String()
	case "ack":
		s.ledger.Ack(now, id)
	}
	a := s.ledger.Get(id)
	if a == nil {
		return "unknown"
	}
	return fmt.Sprintf("%s chunks=%d bytes=%d code=%d ran=%s", a.State, len(a.Chunks), a.ResultBytes, uint32(a.Outcome.Code), a.Outcome.Ran)
}

func parseJob(now time.Time, args []string) Job {
	j := Job{Idempotent: true}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "budget":
			j.Deadline = now.Add(time.Duration(n) * time.Millisecond)
		case "reserve":
			j.ReserveBytes = n
		case "max":
			j.MaxResultBytes = n
		case "effects":
			j.Idempotent = false
		case "shared":
			j.Shared = true
		}
	}
	return j
}

func TestOperationScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			runner := newScriptRunner()
			lines := bufio.NewScanner(bytes.NewReader(text))
			for lines.Scan() {
				if line := lines.Text(); line != "" && line[0] != '#' {
					runner.runLine(line)
				}
			}
			golden.Assert(t, runner.out.String(), strings.TrimSuffix(filepath.Base(file), ".session")+".golden")
		})
	}
}
