package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/clock"
)

// waitInterval is the delay between two polls of the offsets of the instances.
const waitInterval = 500 * time.Millisecond

// configWait is the command "mwctl config wait".
type configWait struct {
	adminFlags
	Offset  uint64        `long:"offset" description:"Offset to wait for; that in force at the entry by default"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"How long to wait"`
}

// Execute waits until the offset is in force on each listed instance.
func (c *configWait) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	var last *adminapi.InstancesReply
	for {
		var reply adminapi.InstancesReply
		err := c.call(ctx, http.MethodGet, "/admin/v1/config/instances", nil, &reply)
		if err != nil && (ctx.Err() == nil || last == nil) {
			return err
		}
		if err == nil {
			last = &reply
			if c.Offset == 0 {
				c.Offset = reply.Offset
			}
		}
		notInForce := countNotInForce(last, c.Offset)
		if notInForce == 0 || !clock.Sleep(ctx, waitInterval) {
			return c.printResult(last, notInForce)
		}
	}
}

// countNotInForce counts the instances that have not reached the offset or did not answer.
func countNotInForce(reply *adminapi.InstancesReply, offset uint64) int {
	n := 0
	for i := range reply.Instances {
		if in := &reply.Instances[i]; in.Error != "" || in.Offset < offset {
			n++
		}
	}
	return n
}

// printResult prints the offset of each instance. It returns an error if any instance has
// not reached the offset.
func (c *configWait) printResult(reply *adminapi.InstancesReply, notInForce int) error {
	if c.JSON {
		if err := printJSON(reply); err != nil {
			return err
		}
	} else if err := writeInstances(os.Stdout, reply, c.Offset); err != nil {
		return err
	}
	if notInForce > 0 {
		return exitError{errors.Newf("%d of %d instances do not have offset %d in force", notInForce, len(reply.Instances), c.Offset), exitNotReached}
	}
	return nil
}

func writeInstances(out io.Writer, reply *adminapi.InstancesReply, offset uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tROLE\tADDRESS\tOFFSET\tSTATE")
	for i := range reply.Instances {
		in := &reply.Instances[i]
		state := "in force"
		switch {
		case in.Error != "":
			state = "not reached: " + in.Error
		case in.Offset < offset:
			state = "behind"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", in.ID, in.Role, in.Addr, in.Offset, state)
	}
	return w.Flush()
}
