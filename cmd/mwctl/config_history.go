package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
)

// configHistory is the command "mwctl config history".
type configHistory struct {
	adminFlags
	Args struct {
		Object string `positional-arg-name:"OBJECT"`
	} `positional-args:"true"`
}

// Execute lists the newest changes and their outcomes.
func (c *configHistory) Execute([]string) error {
	path := "/admin/v1/config/history"
	if c.Args.Object != "" {
		path += "?object=" + url.QueryEscape(c.Args.Object)
	}
	var list []configlog.Outcome
	if err := c.call(context.Background(), http.MethodGet, path, nil, &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(list)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OFFSET\tSTATUS\tTIME\tAUTHOR\tCHANGE\tOBJECTS\tNOTE")
	for i := range list {
		o := &list[i]
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", o.Offset, o.Status, o.Time, o.Author, o.ID, objectNames(o.Objects), o.Note)
	}
	return w.Flush()
}

// objectNames joins the names of the first objects and counts the others.
func objectNames(list []string) string {
	const maxNames = 3
	if len(list) <= maxNames {
		return strings.Join(list, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(list[:maxNames], " "), len(list)-maxNames)
}
