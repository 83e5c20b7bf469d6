package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
)

// configDiff is the command "mwctl config diff".
type configDiff struct {
	adminFlags
	From uint64 `long:"from" description:"Older offset, in place of a file"`
	To   uint64 `long:"to" description:"Newer offset; the configuration in force by default"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute prints what applying the file would change, or what changed between
// two offsets.
func (c *configDiff) Execute([]string) error {
	ctx := context.Background()
	old, err := c.fetchObjects(ctx, c.From)
	if err != nil {
		return err
	}
	target, err := c.targetObjects(ctx)
	if err != nil {
		return err
	}
	edits := configlog.Diff(old.Objects, target)
	if c.JSON {
		return printJSON(append([]configlog.Edit{}, edits...))
	}
	writeDiff(os.Stdout, old.Objects, edits)
	return nil
}

// targetObjects returns the objects to compare with: those of the file, or those as of --to.
func (c *configDiff) targetObjects(ctx context.Context) ([]configlog.Object, error) {
	if c.Args.File != "" {
		s, err := readSchema(c.Args.File)
		if err != nil {
			return nil, err
		}
		return configlog.FromSchema(s)
	}
	reply, err := c.fetchObjects(ctx, c.To)
	return configlog.LiveObjects(reply.Objects), err
}

// writeDiff prints the old and the new body of each edit.
func writeDiff(w io.Writer, old []configlog.Object, edits []configlog.Edit) {
	for i := range edits {
		e := &edits[i]
		fmt.Fprintf(w, "%s (version %d)\n", e.Object, e.BaseVersion)
		for j := range old {
			if old[j].Name == e.Object && !old[j].Deleted {
				fmt.Fprintf(w, "- %s\n", old[j].Body)
			}
		}
		if !e.Delete {
			fmt.Fprintf(w, "+ %s\n", e.Body)
		}
	}
	if len(edits) == 0 {
		fmt.Fprintln(w, "no difference")
	}
}
