package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/magnoliawheel/magnoliawheel/client"
)

// exitCallMayHaveEffects is the exit code of a failed call that may have had effects.
const exitCallMayHaveEffects = 6

type callCommand struct {
	Entries        []string      `long:"entry" env:"MWCTL_ENTRY" env-delim:"," required:"true" description:"Base URL of an entry's callers listener; give it once for each entry"`
	Customer       string        `long:"customer" env:"MWCTL_CUSTOMER" required:"true" description:"Customer that calls"`
	Key            string        `long:"customer-key" env:"MWCTL_CUSTOMER_KEY" description:"The customer's key"`
	KeyFile        string        `long:"customer-key-file" env:"MWCTL_CUSTOMER_KEY_FILE" description:"File with the customer's key"`
	Timeout        time.Duration `long:"timeout" description:"Time for the whole call; the call's own deadline if not given"`
	Keyed          bool          `long:"keyed" description:"Mint an idempotency key"`
	IdempotencyKey string        `long:"idempotency-key" description:"Idempotency key of an earlier try (UUIDv7)"`
	Idempotent     bool          `long:"idempotent" description:"The call has no effects and may be repeated"`
	PromptPrefix   string        `long:"prompt-prefix" description:"Prompt prefix that requests share"`
	BodyFile       string        `long:"body" default:"-" description:"File with the body; - reads standard input"`
	Raw            bool          `long:"raw" description:"The body is not JSON"`
	Stream         bool          `long:"stream" description:"Write the parts of the answer as they come"`
	JSON           bool          `long:"json" description:"Write the answer, or the error, as JSON"`
	Args           struct {
		Call string `positional-arg-name:"CALL" required:"true"`
	} `positional-args:"true"`
}

func addCall(parser *flags.Parser) {
	_, err := parser.AddCommand("call", "Make one call",
		"Goes on reading at another entry after a cut, and comes back when an entry says when.\n"+
			"Example: echo '{\"q\":\"anchors\"}' | mwctl call --entry http://127.0.0.1:8080 --customer wadi-glass --customer-key-file key --stream ask-fixings\n"+
			"Exit codes: 0 complete, 1 failed without effects, 6 failed and may have had effects.",
		&callCommand{})
	if err != nil {
		panic(err)
	}
}

// Execute makes the call.
func (c *callCommand) Execute([]string) error {
	call, err := c.newCall()
	if err != nil {
		return err
	}
	key, err := c.customerKey()
	if err != nil {
		return err
	}
	cl, err := client.New(client.Options{Entries: c.Entries, Customer: c.Customer, Key: key})
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	answer, err := cl.Do(ctx, call)
	if err != nil {
		return c.withExitCode(err)
	}
	return c.writeAnswer(os.Stdout, answer)
}

func (c *callCommand) newCall() (*client.Call, error) {
	body, err := readBody(c.BodyFile)
	if err != nil {
		return nil, err
	}
	call := &client.Call{
		Name: c.Args.Call, Body: body, Timeout: c.Timeout, IdempotencyKey: c.IdempotencyKey,
		Idempotent: c.Idempotent, PromptPrefix: c.PromptPrefix,
		OnRequest: func(id string) { fmt.Fprintln(os.Stderr, "request", id) },
	}
	if c.Raw {
		call.ContentType = "application/octet-stream"
	}
	if c.Keyed && call.IdempotencyKey == "" {
		if call.IdempotencyKey, err = client.NewKey(); err != nil {
			return nil, err
		}
		fmt.Fprintln(os.Stderr, "idempotency key", call.IdempotencyKey)
	}
	if c.Stream {
		call.OnChunk = func(_, text string) { fmt.Print(text) }
	}
	return call, nil
}

func readBody(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func (c *callCommand) customerKey() (string, error) {
	if c.KeyFile == "" {
		return c.Key, nil
	}
	b, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return "", errors.Wrap(err, "read customer key")
	}
	return strings.TrimSpace(string(b)), nil
}

func (c *callCommand) writeAnswer(w io.Writer, a *client.Answer) error {
	if c.JSON {
		return json.NewEncoder(w).Encode(a)
	}
	if c.Stream {
		_, err := fmt.Fprintln(w)
		return err
	}
	for _, st := range a.Stages {
		if _, err := fmt.Fprintf(w, "%s: %s\n", st.Stage, st.Text); err != nil {
			return err
		}
	}
	return nil
}

// withExitCode adds the exit code to an error, which tells whether it is safe to repeat
// the call. With --json, it also writes an error that an entry reported as JSON.
func (c *callCommand) withExitCode(err error) error {
	var entryErr *client.Error
	if !errors.As(err, &entryErr) {
		if errors.Is(err, client.ErrOutcomeUnknown) {
			return exitError{err, exitCallMayHaveEffects}
		}
		return exitError{err, exitFailed}
	}
	if c.JSON {
		_ = json.NewEncoder(os.Stdout).Encode(entryErr)
	}
	callErr := errors.Newf("%d %s: %s (ran %s, effects %s)", entryErr.Code, entryErr.Name, entryErr.Message, entryErr.Ran, entryErr.Effects)
	if entryErr.MayRepeat() {
		return exitError{callErr, exitFailed}
	}
	return exitError{callErr, exitCallMayHaveEffects}
}
