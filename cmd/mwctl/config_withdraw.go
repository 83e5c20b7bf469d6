package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
)

// configWithdraw is the command "mwctl config withdraw".
type configWithdraw struct {
	adminFlags
	BaseOffset uint64 `long:"after" required:"true" description:"Offset that apply printed with the id"`
	Args       struct {
		ID string `positional-arg-name:"CHANGE" required:"true"`
	} `positional-args:"true"`
}

// Execute withdraws the change, or prints that it is already in force.
func (c *configWithdraw) Execute([]string) error {
	var o configlog.Outcome
	path := changesPath + "/" + url.PathEscape(c.Args.ID) + "?after=" + strconv.FormatUint(c.BaseOffset, 10)
	if err := c.call(context.Background(), http.MethodDelete, path, nil, &o); err != nil {
		return withChangeID(err, c.Args.ID)
	}
	if o.Status == configlog.Accepted || c.JSON {
		return c.printOutcome(&o)
	}
	fmt.Printf("change %s is void\n", o.ID)
	return nil
}
