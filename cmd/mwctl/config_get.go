package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
)

// configGet is the command "mwctl config get".
type configGet struct {
	adminFlags
	Offset uint64 `long:"at" description:"Offset as of which to show the configuration; the newest by default"`
	Args   struct {
		Object string `positional-arg-name:"OBJECT"`
	} `positional-args:"true"`
}

// Execute prints the configuration as a schema file, or one object as JSON.
func (c *configGet) Execute([]string) error {
	ctx := context.Background()
	if c.Args.Object != "" {
		return c.printObject(ctx)
	}
	reply, err := c.fetchObjects(ctx, c.Offset)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(reply)
	}
	return writeSchema(os.Stdout, &reply)
}

// writeSchema writes the objects of a reply as a schema file.
func writeSchema(w io.Writer, reply *adminapi.ObjectsReply) error {
	s, err := configlog.ToSchema(reply.Objects)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "# As of offset %d.\n", reply.Offset); err != nil {
		return err
	}
	return toml.NewEncoder(w).Encode(s)
}

func (c *configGet) printObject(ctx context.Context) error {
	var o configlog.Object
	if err := c.call(ctx, http.MethodGet, objectsPath+"/"+c.Args.Object+offsetQuery(c.Offset), nil, &o); err != nil {
		return err
	}
	return printJSON(o)
}

// fetchObjects returns all objects as of an offset, including deleted ones; offset 0
// means the configuration in force.
func (f *adminFlags) fetchObjects(ctx context.Context, offset uint64) (adminapi.ObjectsReply, error) {
	var reply adminapi.ObjectsReply
	query := "?deleted=true"
	if offset > 0 {
		query += "&at=" + strconv.FormatUint(offset, 10)
	}
	err := f.call(ctx, http.MethodGet, objectsPath+query, nil, &reply)
	return reply, err
}

// offsetQuery returns the query string for an offset; empty for 0.
func offsetQuery(offset uint64) string {
	if offset == 0 {
		return ""
	}
	return "?at=" + strconv.FormatUint(offset, 10)
}
