package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
	"github.com/magnoliawheel/magnoliawheel/test/standin"
)

// maxRecordLine bounds one line of the record.
const maxRecordLine = 1 << 20

// Ledger compares what callers were told with what servers executed.
type Ledger struct {
	Requests, Complete, Refused, Unknown int
	// Lost counts callers without an outcome, incomplete answers, and complete
	// answers whose work has no completed execution.
	Lost int
	// Doubled counts requests whose stages that are not idempotent had more than one
	// execution, and answers with repeated parts.
	Doubled int
	// Misdelivered counts answers with parts of another request.
	Misdelivered int
	// FalseNotRun counts callers that were told "not run" about work that ran.
	FalseNotRun int
	// Findings describes each of the four kinds above.
	Findings []string
}

// Sent is a request with its outcome.
type Sent struct {
	Request load.Request
	Outcome load.Outcome
}

// Add sums two ledgers.
func (l *Ledger) Add(o Ledger) {
	l.Requests += o.Requests
	l.Complete += o.Complete
	l.Refused += o.Refused
	l.Unknown += o.Unknown
	l.Lost += o.Lost
	l.Doubled += o.Doubled
	l.Misdelivered += o.Misdelivered
	l.FalseNotRun += o.FalseNotRun
	l.Findings = append(l.Findings, o.Findings...)
}

// String returns the ledger's line.
func (l Ledger) String() string {
	return fmt.Sprintf("requests=%d complete=%d refused=%d unknown=%d lost=%d doubled=%d misdelivered=%d false_not_run=%d",
		l.Requests, l.Complete, l.Refused, l.Unknown, l.Lost, l.Doubled, l.Misdelivered, l.FalseNotRun)
}

// Err returns nil if nothing was lost, doubled, misdelivered or falsely "not run"
// and every request has an outcome.
func (l Ledger) Err() error {
	if l.Complete+l.Refused+l.Unknown != l.Requests {
		return fmt.Errorf("%s: outcomes do not add up\n%s", l, strings.Join(l.Findings, "\n"))
	}
	if l.Lost+l.Doubled+l.Misdelivered+l.FalseNotRun > 0 {
		return fmt.Errorf("%s\n%s", l, strings.Join(l.Findings, "\n"))
	}
	return nil
}

// Executions reads the record of all stand-ins, dead ones included.
func (d *Deployment) Executions() ([]standin.Execution, error) {
	f, err := os.Open(filepath.Join(d.conf.Dir, recordFile))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	type key struct {
		run string
		seq int
	}
	last := map[key]standin.Execution{}
	lines := bufio.NewScanner(f)
	lines.Buffer(make([]byte, 4096), maxRecordLine)
	for lines.Scan() {
		var e standin.Execution
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("record %q: %w", lines.Text(), err)
		}
		last[key{e.RunID, e.Seq}] = e
	}
	all := make([]standin.Execution, 0, len(last))
	for _, e := range last {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Start.Before(all[j].Start) })
	return all, lines.Err()
}

// Check compares outcomes with the record of executions.
func Check(s *schema.Schema, sent []Sent, executions []standin.Execution) Ledger {
	byNonce := map[string][]standin.Execution{}
	for _, e := range executions {
		byNonce[e.Nonce] = append(byNonce[e.Nonce], e)
	}
	var l Ledger
	// Requests with the same nonce are copies of one piece of work.
	copies := map[string]int{}
	for _, one := range sent {
		copies[one.Request.Nonce]++
		c := checker{ledger: &l, schema: s, sent: one, executions: byNonce[one.Request.Nonce]}
		c.check(copies[one.Request.Nonce] == 1)
	}
	return l
}

// checker checks one request.
type checker struct {
	ledger     *Ledger
	schema     *schema.Schema
	sent       Sent
	executions []standin.Execution
}

func (c *checker) check(first bool) {
	l, out := c.ledger, c.sent.Outcome
	l.Requests++
	pipeline := c.pipeline()
	switch out.Class {
	case load.Complete:
		l.Complete++
		c.checkAnswer(pipeline)
	case load.Refused:
		l.Refused++
	case load.Unknown:
		l.Unknown++
	default:
		l.Unknown++
		c.found(&l.Lost, "no outcome")
	}
	c.checkNotRun(pipeline)
	if first {
		c.checkDoubled(pipeline)
	}
}

func (c *checker) pipeline() *schema.Pipeline {
	call := c.schema.Call(c.sent.Request.Call)
	if call == nil {
		return &schema.Pipeline{}
	}
	return c.schema.Pipeline(call.Pipeline)
}

func (c *checker) found(counter *int, format string, args ...any) {
	*counter++
	out := c.sent.Outcome
	out.Texts = nil
	text, _ := json.Marshal(out)
	c.ledger.Findings = append(c.ledger.Findings,
		fmt.Sprintf("%s: %s\n  outcome %s", c.sent.Request.Nonce, fmt.Sprintf(format, args...), text))
	for _, e := range c.executions {
		c.ledger.Findings = append(c.ledger.Findings,
			fmt.Sprintf("  execution %s %s at %s: %s, %s to %s", e.ID, e.Call, e.Server, e.Outcome,
				e.Start.Format("15:04:05.000"), e.End.Format("15:04:05.000")))
	}
}

// checkAnswer compares an answer with the one that the stand-ins must give.
func (c *checker) checkAnswer(p *schema.Pipeline) {
	out := c.sent.Outcome
	if out.Wrong != "" {
		c.found(&c.ledger.Lost, "wrong answer: %s", out.Wrong)
		return
	}
	expected := Expected(p, c.sent.Request.Body)
	for stage, want := range expected {
		got := out.Texts[stage]
		switch {
		case got == want:
		case c.foreign(got):
			c.found(&c.ledger.Misdelivered, "stage %s: got %q, want %q", stage, clip(got), clip(want))
			return
		case len(got) > len(want):
			c.found(&c.ledger.Doubled, "stage %s: got %q, want %q", stage, clip(got), clip(want))
			return
		default:
			c.found(&c.ledger.Lost, "stage %s: got %q, want %q", stage, clip(got), clip(want))
			return
		}
	}
	if len(out.Texts) != len(expected) {
		c.found(&c.ledger.Misdelivered, "%d stages in the answer, want %d", len(out.Texts), len(expected))
		return
	}
	for _, st := range p.Stages {
		if !st.Idempotent && c.count(st.ServerCall, standin.Completed) == 0 {
			c.found(&c.ledger.Lost, "complete without a completed %s", st.ServerCall)
		}
	}
}

// foreign tells whether a text carries the nonce of another request.
func (c *checker) foreign(text string) bool {
	nonce := c.sent.Request.Nonce
	run, _, _ := strings.Cut(nonce, "-")
	return strings.Count(text, run+"-") > strings.Count(text, nonce)
}

func (c *checker) checkNotRun(p *schema.Pipeline) {
	out := c.sent.Outcome
	no := result.RanNo.String()
	if out.Ran == no && len(c.own()) > 0 {
		c.found(&c.ledger.FalseNotRun, "told ran=no")
		return
	}
	if out.Effects != no {
		return
	}
	for _, e := range c.own() {
		for _, st := range p.Stages {
			if !st.Idempotent && st.ServerCall == e.Call {
				c.found(&c.ledger.FalseNotRun, "told effects=no about %s", e.Call)
				return
			}
		}
	}
}

// own returns the executions of this copy of the request, when its id is known.
func (c *checker) own() []standin.Execution {
	id := c.sent.Outcome.RequestID
	if id == "" {
		return c.executions
	}
	var own []standin.Execution
	for _, e := range c.executions {
		if strings.HasPrefix(e.ID, id+"/") {
			own = append(own, e)
		}
	}
	return own
}

// checkDoubled counts executions that may have had an effect.
func (c *checker) checkDoubled(p *schema.Pipeline) {
	for _, st := range p.Stages {
		if st.Idempotent {
			continue
		}
		if n := c.count(st.ServerCall, standin.Completed) + c.count(st.ServerCall, standin.Started); n > 1 {
			c.found(&c.ledger.Doubled, "%d executions of %s", n, st.ServerCall)
		}
	}
}

func (c *checker) count(call string, outcome standin.Outcome) int {
	n := 0
	for _, e := range c.executions {
		if e.Call == call && e.Outcome == outcome {
			n++
		}
	}
	return n
}

// Expected returns the answer that the stand-ins give to a body, by stage.
func Expected(p *schema.Pipeline, body []byte) map[string]string {
	answer := map[string]string{}
	input := body
	for _, st := range p.Stages {
		output := standin.CallOutput(st.ServerCall, input)
		if st.Model != "" {
			output = []byte(strings.Join(standin.GenerateTokens(input, st.MaxTokens), ""))
		}
		if st.InAnswer {
			answer[st.Name] = string(output)
		}
		input = output
	}
	return answer
}

func clip(s string) string {
	const limit = 160
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "…"
}
