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
)

// waitInterval is the time between two rounds of asking the instances.
const waitInterval = 500 * time.Millisecond

// configWait is mwctl config wait.
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
		missing := missing(last, c.Offset)
		if missing == 0 || !pause(ctx, waitInterval) {
			return c.report(last, missing)
		}
	}
}

// missing counts the instances that do not have the offset in force.
func missing(reply *adminapi.InstancesReply, offset uint64) int {
	n := 0
	for i := range reply.Instances {
		if in := &reply.Instances[i]; in.Error != "" || in.Offset < offset {
			n++
		}
	}
	return n
}

func (c *configWait) report(reply *adminapi.InstancesReply, missing int) error {
	if c.JSON {
		if err := printJSON(reply); err != nil {
			return err
		}
	} else if err := writeInstances(os.Stdout, reply, c.Offset); err != nil {
		return err
	}
	if missing > 0 {
		return exitError{errors.Newf("%d of %d instances do not have offset %d in force", missing, len(reply.Instances), c.Offset), exitNotReached}
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

// pause waits; it returns false if ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
