package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/magnoliawheel/magnoliawheel/internal/cli"
	"github.com/magnoliawheel/magnoliawheel/internal/entry"
)

// readExitCodes is the help text on the exit codes of commands that only read.
const readExitCodes = "Exit codes: 0 printed, 1 failed, 5 the entry does not answer.\n"

// addStatus registers the commands that show the state of an entry and its servers,
// and those that give orders to servers.
func addStatus(parser *flags.Parser) {
	cli.AddCommand(parser.Command, "pools", "Sum up the servers of each pool", readExitCodes+"Example: mwctl pools --admin http://10.0.0.1:9000", &poolsCommand{})
	cli.AddCommand(parser.Command, "servers", "List the servers with their state and why",
		"As the entry asked sees them.\n"+readExitCodes+"Example: mwctl servers --pool engines", &serversCommand{})
	cli.AddCommand(parser.Command, "customers", "List the customers with their recent use", readExitCodes+"Example: mwctl customers --json", &customersCommand{})
	cli.AddCommand(parser.Command, "requests", "List the requests in flight at an entry", readExitCodes+"Example: mwctl requests", &requestsCommand{})
	cli.AddCommand(parser.Command, "order", "Give an order to a server through its agent",
		"The agent must list the entry in orders_from.\nExit codes: 0 obeyed, 1 refused or failed.\n"+
			"Example: mwctl order engine-7 load_model --model clause-7b", &orderCommand{})
	cli.AddCommand(parser.Command, "drain", "Let a server take no new work, or shut an entry down",
		"Exit codes: 0 accepted, 1 refused or failed.\nExample: mwctl drain engine-7\nExample: mwctl drain --entry", &drainCommand{})
	cli.AddCommand(parser.Command, "undrain", "Let a drained server take work again",
		"Exit codes: 0 accepted, 1 refused or failed.\nExample: mwctl undrain engine-7", &undrainCommand{})
}

// printList reads a list from the admin API and prints it as JSON, or as a table through
// print.
func printList[T any](f *adminFlags, path string, print func(io.Writer, T)) error {
	var v T
	if err := f.call(context.Background(), http.MethodGet, path, nil, &v); err != nil {
		return err
	}
	if f.JSON {
		return printJSON(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	print(w, v)
	return w.Flush()
}

type poolsCommand struct{ adminFlags }

// Execute prints the state of the pools.
func (c *poolsCommand) Execute([]string) error {
	return printList(&c.adminFlags, "/admin/v1/pools", func(w io.Writer, list []entry.PoolStatus) {
		fmt.Fprintln(w, "POOL\tKIND\tSERVERS\tRUNNING\tQUEUED\tLIMIT")
		for _, p := range list {
			var states []string
			for state, n := range p.Servers {
				states = append(states, fmt.Sprintf("%d %s", n, state))
			}
			sort.Strings(states)
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", p.Pool, p.Kind, strings.Join(states, ", "), p.Running, p.Queued, p.Limit)
		}
	})
}

type serversCommand struct {
	adminFlags
	Pool string `long:"pool" description:"Only this pool"`
}

// Execute lists the servers.
func (c *serversCommand) Execute([]string) error {
	path := "/admin/v1/servers?" + url.Values{"pool": {c.Pool}}.Encode()
	return printList(&c.adminFlags, path, func(w io.Writer, list []entry.ServerStatus) {
		fmt.Fprintln(w, "SERVER\tPOOL\tZONE\tSTATE\tRUNNING\tQUEUED\tLIMIT\tSERVICE ms\tLOAD AGE ms\tWHY")
		for _, s := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n",
				s.ID, s.Pool, s.Zone, s.State, s.Running, s.Queued, s.Limit, s.ServiceMS, s.LoadAgeMS, s.Reason)
		}
	})
}

type customersCommand struct{ adminFlags }

// Execute lists the customers.
func (c *customersCommand) Execute([]string) error {
	return printList(&c.adminFlags, "/admin/v1/customers", func(w io.Writer, list []entry.CustomerStatus) {
		fmt.Fprintln(w, "CUSTOMER\tWEIGHT\tSHARE\tENTITLED\tIN FLIGHT")
		for _, s := range list {
			fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%d\n", s.Customer, s.Weight, s.Share, s.EntitledShare, s.InFlight)
		}
	})
}

type requestsCommand struct{ adminFlags }

// Execute lists the requests in flight.
func (c *requestsCommand) Execute([]string) error {
	return printList(&c.adminFlags, "/admin/v1/requests", func(w io.Writer, reply entry.RequestsReply) {
		fmt.Fprintln(w, "REQUEST\tCALL\tCUSTOMER\tSTAGE")
		for _, r := range reply.Requests {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.ID, r.Call, r.Customer, r.Stage)
		}
	})
}

type orderCommand struct {
	adminFlags
	Model   string `long:"model" description:"Model or adapter"`
	Version string `long:"model-version" description:"Version of the model"`
	Role    string `long:"role" description:"Role, for set_role"`
	Args    struct {
		Server string `positional-arg-name:"SERVER" required:"true"`
		Kind   string `positional-arg-name:"KIND" required:"true" description:"load_model, unload_model, load_adapter or set_role"`
	} `positional-args:"true"`
}

// Execute sends the order.
func (c *orderCommand) Execute([]string) error {
	return sendOrder(&c.adminFlags, c.Args.Server, entry.OrderRequest{Kind: c.Args.Kind, Model: c.Model, Version: c.Version, Role: c.Role})
}

type drainCommand struct {
	adminFlags
	Entry bool `long:"entry" description:"Shut down the entry asked"`
	Args  struct {
		Server string `positional-arg-name:"SERVER"`
	} `positional-args:"true"`
}

// Execute drains a server, or shuts the entry down.
func (c *drainCommand) Execute([]string) error {
	if c.Entry == (c.Args.Server != "") {
		return &flags.Error{Type: flags.ErrRequired, Message: "name a server, or give --entry"}
	}
	if c.Entry {
		return c.call(context.Background(), http.MethodPost, "/admin/v1/drain", nil, nil)
	}
	return sendOrder(&c.adminFlags, c.Args.Server, entry.OrderRequest{Kind: "drain"})
}

type undrainCommand struct {
	adminFlags
	Args struct {
		Server string `positional-arg-name:"SERVER" required:"true"`
	} `positional-args:"true"`
}

// Execute makes a drained server accept work again.
func (c *undrainCommand) Execute([]string) error {
	return sendOrder(&c.adminFlags, c.Args.Server, entry.OrderRequest{Kind: "undrain"})
}

// sendOrder sends an order for a server and prints the reply.
func sendOrder(f *adminFlags, server string, order entry.OrderRequest) error {
	var reply entry.OrderReply
	path := "/admin/v1/servers/" + url.PathEscape(server) + "/orders"
	if err := f.call(context.Background(), http.MethodPost, path, order, &reply); err != nil {
		return err
	}
	if f.JSON {
		return printJSON(reply)
	}
	fmt.Printf("%s obeyed order %s\n", reply.Server, reply.OrderID)
	return nil
}
