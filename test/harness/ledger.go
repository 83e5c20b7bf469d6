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

// maxRecordLine is the maximum length of a line in the execution record, in bytes.
const maxRecordLine = 1 << 20

// Ledger counts requests by outcome, and the contradictions between the answers that
// callers received and the executions that servers recorded.
type Ledger struct {
	Requests, Complete, Refused, Unknown int
	// Lost counts requests without an outcome, incomplete or wrong answers, and complete
	// answers without a completed execution of a stage that is not idempotent.
	Lost int
	// Doubled counts stages that are not idempotent and that were executed more than
	// once for a request, and answers that are longer than expected.
	Doubled int
	// Misdelivered counts answers that contain text of another request, or more or fewer
	// stages than expected.
	Misdelivered int
	// FalseNotRun counts answers that report that work did not run, or had no effects,
	// although it was executed.
	FalseNotRun int
	// Findings describes each contradiction counted in the four fields above.
	Findings []string
}

// SentRequest is a request that was sent, with its outcome.
type SentRequest struct {
	Request load.Request
	Outcome load.Outcome
}

// Add adds the counts and findings of another ledger.
func (l *Ledger) Add(other Ledger) {
	l.Requests += other.Requests
	l.Complete += other.Complete
	l.Refused += other.Refused
	l.Unknown += other.Unknown
	l.Lost += other.Lost
	l.Doubled += other.Doubled
	l.Misdelivered += other.Misdelivered
	l.FalseNotRun += other.FalseNotRun
	l.Findings = append(l.Findings, other.Findings...)
}

// String returns the counts on one line, without the findings.
func (l Ledger) String() string {
	return fmt.Sprintf("requests=%d complete=%d refused=%d unknown=%d lost=%d doubled=%d misdelivered=%d false_not_run=%d",
		l.Requests, l.Complete, l.Refused, l.Unknown, l.Lost, l.Doubled, l.Misdelivered, l.FalseNotRun)
}

// Err returns an error with the findings if there was a contradiction, or if the
// outcomes do not add up to the number of requests.
func (l Ledger) Err() error {
	if l.Complete+l.Refused+l.Unknown != l.Requests {
		return fmt.Errorf("%s: complete, refused and unknown do not add up to requests\n%s", l, strings.Join(l.Findings, "\n"))
	}
	if l.Lost+l.Doubled+l.Misdelivered+l.FalseNotRun > 0 {
		return fmt.Errorf("%s\n%s", l, strings.Join(l.Findings, "\n"))
	}
	return nil
}

// Executions reads the execution record of all stand-ins, including those that were
// killed, and returns the latest state of each execution in the order of their starts.
func (d *Deployment) Executions() ([]standin.Execution, error) {
	f, err := os.Open(filepath.Join(d.config.Dir, recordFile))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	type key struct {
		run string
		seq int
	}
	latest := map[key]standin.Execution{}
	lines := bufio.NewScanner(f)
	lines.Buffer(make([]byte, 4096), maxRecordLine)
	for lines.Scan() {
		var e standin.Execution
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("invalid line in the execution record: %q: %w", lines.Text(), err)
		}
		latest[key{e.RunID, e.Seq}] = e
	}
	all := make([]standin.Execution, 0, len(latest))
	for _, e := range latest {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Start.Before(all[j].Start) })
	return all, lines.Err()
}

// CheckOutcomes compares the outcomes of requests with the recorded executions. Answers
// must be those that the pipelines of schema s produce.
func CheckOutcomes(s *schema.Schema, sent []SentRequest, executions []standin.Execution) Ledger {
	byNonce := map[string][]standin.Execution{}
	for _, e := range executions {
		byNonce[e.Nonce] = append(byNonce[e.Nonce], e)
	}
	var l Ledger
	// Requests with the same nonce are copies of one request. Duplicate executions are
	// counted once for all of them.
	copies := map[string]int{}
	for _, sentRequest := range sent {
		copies[sentRequest.Request.Nonce]++
		check := checker{ledger: &l, schema: s, sent: sentRequest, executions: byNonce[sentRequest.Request.Nonce]}
		check.check(copies[sentRequest.Request.Nonce] == 1)
	}
	return l
}

// checker compares one request with its executions and adds the result to a ledger.
type checker struct {
	ledger     *Ledger
	schema     *schema.Schema
	sent       SentRequest
	executions []standin.Execution
}

// check counts the request and its contradictions. first is true for the first copy of a
// request.
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
		c.report(&l.Lost, "no outcome")
	}
	c.checkNotRunClaims(pipeline)
	if first {
		c.checkDuplicateExecutions(pipeline)
	}
}

// pipeline returns the pipeline of the request's call, an empty one if the schema does not
// have the call.
func (c *checker) pipeline() *schema.Pipeline {
	call := c.schema.Call(c.sent.Request.Call)
	if call == nil {
		return &schema.Pipeline{}
	}
	return c.schema.Pipeline(call.Pipeline)
}

// report increments the counter and adds a finding with the outcome and all executions of
// the request.
func (c *checker) report(counter *int, format string, args ...any) {
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

// checkAnswer compares the answer with the one that the stand-ins produce, and checks
// that the stages that are not idempotent were executed.
func (c *checker) checkAnswer(p *schema.Pipeline) {
	out := c.sent.Outcome
	if out.Defect != "" {
		c.report(&c.ledger.Lost, "wrong answer: %s", out.Defect)
		return
	}
	expected := ExpectedAnswer(p, c.sent.Request.Body)
	for stage, want := range expected {
		got := out.Texts[stage]
		switch {
		case got == want:
		case c.containsOtherNonce(got):
			c.report(&c.ledger.Misdelivered, "stage %s: got %q, want %q", stage, truncate(got), truncate(want))
			return
		case len(got) > len(want):
			c.report(&c.ledger.Doubled, "stage %s: got %q, want %q", stage, truncate(got), truncate(want))
			return
		default:
			c.report(&c.ledger.Lost, "stage %s: got %q, want %q", stage, truncate(got), truncate(want))
			return
		}
	}
	if len(out.Texts) != len(expected) {
		c.report(&c.ledger.Misdelivered, "%d stages in the answer, want %d", len(out.Texts), len(expected))
		return
	}
	for _, st := range p.Stages {
		if !st.Idempotent && c.countExecutions(st.ServerCall, standin.Completed) == 0 {
			c.report(&c.ledger.Lost, "answer is complete, but no execution of %s completed", st.ServerCall)
		}
	}
}

// containsOtherNonce reports whether a text contains the nonce of another request of
// the same run.
func (c *checker) containsOtherNonce(text string) bool {
	nonce := c.sent.Request.Nonce
	run, _, _ := strings.Cut(nonce, "-")
	return strings.Count(text, run+"-") > strings.Count(text, nonce)
}

// checkNotRunClaims checks an outcome that reports that nothing ran, or that nothing had
// effects, against the executions.
func (c *checker) checkNotRunClaims(p *schema.Pipeline) {
	out := c.sent.Outcome
	notRun := result.RanNo.String()
	if out.Ran == notRun && len(c.ownExecutions()) > 0 {
		c.report(&c.ledger.FalseNotRun, "caller was told ran=no, but there are executions")
		return
	}
	if out.Effects != notRun {
		return
	}
	for _, e := range c.ownExecutions() {
		for _, st := range p.Stages {
			if !st.Idempotent && st.ServerCall == e.Call {
				c.report(&c.ledger.FalseNotRun, "caller was told effects=no, but %s was executed", e.Call)
				return
			}
		}
	}
}

// ownExecutions returns the executions of this copy of the request. It returns those of
// all copies if the request ID is unknown.
func (c *checker) ownExecutions() []standin.Execution {
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

// checkDuplicateExecutions checks that each stage that is not idempotent was executed
// at most once. An execution that started and did not end may have had its effect.
func (c *checker) checkDuplicateExecutions(p *schema.Pipeline) {
	for _, st := range p.Stages {
		if st.Idempotent {
			continue
		}
		if n := c.countExecutions(st.ServerCall, standin.Completed) + c.countExecutions(st.ServerCall, standin.Started); n > 1 {
			c.report(&c.ledger.Doubled, "%d executions of %s", n, st.ServerCall)
		}
	}
}

func (c *checker) countExecutions(call string, outcome standin.Outcome) int {
	n := 0
	for _, e := range c.executions {
		if e.Call == call && e.Outcome == outcome {
			n++
		}
	}
	return n
}

// ExpectedAnswer returns the text that the stand-ins produce for a request body, by the
// name of each stage that is part of the answer.
func ExpectedAnswer(p *schema.Pipeline, body []byte) map[string]string {
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

// truncate shortens a text for a finding.
func truncate(s string) string {
	const limit = 160
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "…"
}
