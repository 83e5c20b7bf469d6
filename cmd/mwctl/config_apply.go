package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/google/uuid"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
)

const (
	pathObjects = "/admin/v1/config/objects"
	pathChanges = "/admin/v1/config/changes"
)

// configApply is mwctl config apply.
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
	edits, err := c.diff(ctx, c.Args.File)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		fmt.Println("nothing to change")
		return nil
	}
	return c.submit(ctx, adminapi.ChangeRequest{ID: c.ID, Note: c.Note, Edits: edits})
}

// diff returns the edits from the configuration in force to a schema file.
func (f *adminFlags) diff(ctx context.Context, file string) ([]configlog.Edit, error) {
	s, err := readSchema(file)
	if err != nil {
		return nil, err
	}
	want, err := configlog.FromSchema(s)
	if err != nil {
		return nil, err
	}
	var current adminapi.ObjectsReply
	if err := f.call(ctx, http.MethodGet, pathObjects+"?deleted=true", nil, &current); err != nil {
		return nil, err
	}
	return configlog.Diff(current.Objects, want), nil
}

// submit sends a change and prints what became of it.
func (f *adminFlags) submit(ctx context.Context, req adminapi.ChangeRequest) error {
	if req.ID == "" {
		req.ID = uuid.Must(uuid.NewV7()).String()
	}
	var o configlog.Outcome
	if err := f.call(ctx, http.MethodPost, pathChanges, req, &o); err != nil {
		return withChange(err, req.ID)
	}
	if f.JSON {
		return printJSON(o)
	}
	fmt.Printf("change %s in force at offset %d\n", o.ID, o.Offset)
	return nil
}

// withChange adds the id to ask again with to an error.
func withChange(err error, id string) error {
	if e, ok := err.(exitError); ok {
		return exitError{fmt.Errorf("change %s: %w", id, e.error), e.code}
	}
	return err
}
