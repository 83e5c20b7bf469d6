package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/cli"
)

// configRollback is the command "mwctl config rollback".
type configRollback struct {
	adminFlags
	ID   string `long:"id" description:"Id of the change"`
	Note string `long:"note" description:"Why the change is made"`
	Args struct {
		Offset  uint64   `positional-arg-name:"OFFSET" required:"true"`
		Objects []string `positional-arg-name:"OBJECT"`
	} `positional-args:"true"`
}

// Execute restores objects as of an offset by writing new versions of them.
func (c *configRollback) Execute([]string) error {
	ctx := context.Background()
	if c.Args.Offset == 0 {
		return exitError{errors.New("the offset must be greater than 0"), cli.ExitUsage}
	}
	old, err := c.fetchObjects(ctx, c.Args.Offset)
	if err != nil {
		return err
	}
	current, err := c.fetchObjects(ctx, 0)
	if err != nil {
		return err
	}
	edits := configlog.Diff(current.Objects, configlog.LiveObjects(old.Objects))
	if len(c.Args.Objects) > 0 {
		edits = slices.DeleteFunc(edits, func(e configlog.Edit) bool { return !slices.Contains(c.Args.Objects, e.Object) })
	}
	if c.Note == "" {
		c.Note = fmt.Sprintf("rollback to offset %d", c.Args.Offset)
	}
	return c.submit(ctx, current.Offset, adminapi.ChangeRequest{ID: c.ID, Note: c.Note, Edits: edits})
}
