package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
	"github.com/magnoliawheel/magnoliawheel/internal/load"
)

// exitWrongAnswers is the exit code of a load with wrong or missing answers.
const exitWrongAnswers = 10

type loadCommand struct {
	Entries      []string      `long:"entry" required:"true" description:"Base URL of an entry; may be given more than once"`
	TraceFile    string        `long:"trace" description:"Arrival trace (TOML); the flags below make a simple one without it"`
	Call         string        `long:"call" description:"Call to invoke"`
	Customer     string        `long:"customer" description:"Customer to call as; its key is in the environment as MWCTL_CUSTOMER_KEY"`
	Rate         float64       `long:"rate" default:"10" description:"Arrivals a second"`
	Duration     time.Duration `long:"duration" default:"10s" description:"How long requests are sent"`
	Keyed        bool          `long:"keyed" description:"Send an Idempotency-Key with each request"`
	Stream       bool          `long:"stream" description:"Ask for answers as streams"`
	Size         int           `long:"size" description:"Padding of stage results in bytes, for stand-ins"`
	Tokens       int           `long:"tokens" description:"Tokens to generate, for stand-ins; 0 leaves it to the schema"`
	Seed         uint64        `long:"seed" default:"1" description:"Seed of arrivals and mix"`
	Deadline     time.Duration `long:"deadline" default:"3s" description:"Deadline that attainment is counted against where the trace sets none"`
	JSON         bool          `long:"json" description:"Write the report as JSON"`
	OutcomesFile string        `long:"outcomes" description:"File that gets one JSON object for each request"`
}

func addLoad(parser *flags.Parser) {
	_, err := parser.AddCommand("load", "Send open-loop load and verify every answer",
		"Example: mwctl load --entry http://127.0.0.1:8080 --trace lunch.toml\n"+
			"Exit codes: 0 all answers right, 10 wrong or missing answers.", &loadCommand{})
	if err != nil {
		panic(err)
	}
}

// Execute runs the load.
func (c *loadCommand) Execute([]string) error {
	trace, err := c.newTrace()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	caller := load.NewCaller(c.Entries)
	defer caller.Close()
	options := load.Options{Caller: caller, Requests: trace.Requests(newNoncePrefix())}
	if isTerminal(os.Stderr) {
		options.OnProgress = showProgress
	}
	closeOutcomes, err := c.writeOutcomes(&options)
	if err != nil {
		return err
	}
	outcomes := load.Run(ctx, options)
	if err := closeOutcomes(); err != nil {
		return err
	}
	return c.printReport(load.Summarize(options.Requests, outcomes, c.Deadline))
}

func (c *loadCommand) newTrace() (*load.Trace, error) {
	if c.TraceFile != "" {
		return load.ReadTraceFile(c.TraceFile)
	}
	t := &load.Trace{
		Seed:   c.Seed,
		Phases: []load.Phase{{Duration: schema.Duration(c.Duration), Rate: c.Rate}},
		Mix: []load.RequestKind{{
			Call: c.Call, Customer: c.Customer, CustomerKey: os.Getenv("MWCTL_CUSTOMER_KEY"), Weight: 1,
			SendIdempotencyKey: c.Keyed, Stream: c.Stream, PaddingBytes: c.Size, MaxTokens: c.Tokens,
		}},
	}
	return t, errors.Wrap(t.Validate(), "give --trace, or --call and --customer")
}

// writeOutcomes makes the load write each outcome to the file, if one is given.
func (c *loadCommand) writeOutcomes(o *load.Options) (closeFile func() error, err error) {
	if c.OutcomesFile == "" {
		return func() error { return nil }, nil
	}
	f, err := os.Create(c.OutcomesFile)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var writeErr error
	enc := json.NewEncoder(f)
	o.OnOutcome = func(out load.Outcome) {
		mu.Lock()
		defer mu.Unlock()
		writeErr = errors.CombineErrors(writeErr, enc.Encode(out))
	}
	return func() error { return errors.CombineErrors(writeErr, f.Close()) }, nil
}

func (c *loadCommand) printReport(r load.Report) error {
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return err
		}
	} else {
		r.WriteText(os.Stdout)
	}
	if r.WrongAnswers+r.NoOutcome > 0 {
		return exitError{errors.Newf("%d wrong and %d missing answers", r.WrongAnswers, r.NoOutcome), exitWrongAnswers}
	}
	return nil
}

// newNoncePrefix returns a random prefix for the nonces of this run.
func newNoncePrefix() string { return "r" + uuid.NewString()[:8] }

func showProgress(p load.Progress) {
	fmt.Fprintf(os.Stderr, "\rsent %d of %d, finished %d ", p.Sent, p.Total, p.Finished)
	if p.Finished == p.Total {
		fmt.Fprintln(os.Stderr)
	}
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
