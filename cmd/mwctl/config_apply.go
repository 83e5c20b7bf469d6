package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
)

const (
	objectsPath = "/admin/v1/config/objects"
	changesPath = "/admin/v1/config/changes"
)

// configApply is the command "mwctl config apply".
type configApply struct {
	adminFlags
	ID   string `long:"id" description:"Id of the change; the same id takes effect once, so that an unknown outcome is settled by applying again"`
	Note string `long:"note" description:"Why the change is made"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute applies the file.
func (c *configApply) Execute([]string) error {
	ctx := context.Background()
	if c.ID != "" {
		found, err := c.printEarlierOutcome(ctx)
		if found || err != nil {
			return err
		}
	}
	s, err := readSchema(c.Args.File)
	if err != nil {
		return err
	}
	target, err := configlog.FromSchema(s)
	if err != nil {
		return err
	}
	current, err := c.fetchObjects(ctx, 0)
	if err != nil {
		return err
	}
	return c.submit(ctx, current.Offset, adminapi.ChangeRequest{ID: c.ID, Note: c.Note, Edits: configlog.Diff(current.Objects, target)})
}

// printEarlierOutcome prints the outcome of an earlier change with the same id; found is
// false if there is none.
func (c *configApply) printEarlierOutcome(ctx context.Context) (found bool, err error) {
	var o configlog.Outcome
	err = c.call(ctx, http.MethodGet, changesPath+"/"+url.PathEscape(c.ID), nil, &o)
	var api *adminapi.ErrorBody
	if errors.As(err, &api) && api.Code == result.ConfigNoObject {
		return false, nil
	}
	if err != nil {
		return false, withChangeID(err, c.ID)
	}
	return true, c.printOutcome(&o)
}

// submit sends a change that is based on the configuration as of an offset, and prints
// its outcome.
func (f *adminFlags) submit(ctx context.Context, baseOffset uint64, req adminapi.ChangeRequest) error {
	if len(req.Edits) == 0 {
		fmt.Println("nothing to change")
		return nil
	}
	if req.ID == "" {
		req.ID = uuid.Must(uuid.NewV7()).String()
	}
	var o configlog.Outcome
	if err := f.call(ctx, http.MethodPost, changesPath, req, &o); err != nil {
		return withChangeID(err, fmt.Sprintf("%s (after %d)", req.ID, baseOffset))
	}
	return f.printOutcome(&o)
}

// printOutcome prints the outcome of a change in force.
func (f *adminFlags) printOutcome(o *configlog.Outcome) error {
	if f.JSON {
		return printJSON(o)
	}
	fmt.Printf("change %s in force at offset %d\n", o.ID, o.Offset)
	return nil
}

// withChangeID adds the id of the change to an error, so that the operator can ask for
// its outcome.
func withChangeID(err error, id string) error {
	if e, ok := err.(exitError); ok {
		return exitError{fmt.Errorf("change %s: %w", id, e.error), e.code}
	}
	return err
}
