package main

import (
	"context"
	"net/http"
	"net/url"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
)

// configStatus is the command "mwctl config status".
type configStatus struct {
	adminFlags
	Args struct {
		ID string `positional-arg-name:"CHANGE" required:"true"`
	} `positional-args:"true"`
}

// Execute prints the outcome of a change.
func (c *configStatus) Execute([]string) error {
	var o configlog.Outcome
	if err := c.call(context.Background(), http.MethodGet, changesPath+"/"+url.PathEscape(c.Args.ID), nil, &o); err != nil {
		return withChangeID(err, c.Args.ID)
	}
	return c.printOutcome(&o)
}
