package staging

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/magnoliawheel/magnoliawheel/core/residency"
)

// TestScenarios runs the scenarios in testdata. Commands:
//
//	pool name=P batch=N call=MS item=MS memory=BYTES keep=MS [slots=N]   servers as lines "ID ZONE"
//	job id=J due=MS deadline=MS [rank=N] [after=MS] [zone=Z]             stages as lines "POOL PIECES BYTES [AFTER,..]",
//	                                                                     prior results as "made STAGE PIECE HANDLE SERVER"
//	done call=N [end=full|gone|broken] [outcomes=made+late+gone+memory+error] [retry=MS] [at=MS]
//	tick, started, release, hold, freed id=N [retry=MS]
//
// Each command accepts at=MS, the current time, and prints the actions that follow. The
// short words correspond to these identifiers:
//
//	call, item, keep             CallOverhead, TimePerPiece, ResultRetention
//	due, rank, after, zone       ObjectiveDeadline, Priority, RequestDuration, ReaderZone
//	full, gone, broken           ServerFull, ServerGone, Incomplete
//	made, late, gone, memory     Succeeded, DeadlinePassed, InputMissing, OutOfMemory
//	hold, freed                  SuspendJob, FreeDone
//	retry                        RetryAfter
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &scriptRunner{scheduler: New(), calls: map[uint64]Call{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.execute(t, d) })
	})
}

// scriptRunner executes the commands of one scenario.
type scriptRunner struct {
	scheduler *Scheduler
	now       time.Duration
	calls     map[uint64]Call
}

func (x *scriptRunner) execute(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		x.now = millisArg(t, d, "at", 0)
	}
	var id string
	if d.HasArg("id") {
		d.ScanArgs(t, "id", &id)
	}
	switch d.Cmd {
	case "pool":
		x.setPool(t, d)
	case "job":
		x.scheduler.Submit(x.now, x.parseJob(t, d, id))
	case "done":
		x.endCall(t, d)
	case "tick":
		x.scheduler.Tick(x.now)
	case "started":
		x.scheduler.RequestStarted(x.now, id)
	case "release":
		x.scheduler.Release(x.now, id)
	case "hold":
		x.scheduler.SuspendJob(id)
	case "freed":
		n, err := strconv.Atoi(id)
		if err != nil {
			d.Fatalf(t, "id: %v", err)
		}
		x.scheduler.FreeDone(x.now, uint64(n), millisArg(t, d, "retry", 0))
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return x.formatActions()
}

func (x *scriptRunner) setPool(t *testing.T, d *datadriven.TestData) {
	var name string
	d.ScanArgs(t, "name", &name)
	spec := PoolSpec{
		Slots: intArg(t, d, "slots", 1), BatchSize: intArg(t, d, "batch", 1),
		CallOverhead: millisArg(t, d, "call", 0), TimePerPiece: millisArg(t, d, "item", 0),
		MemoryBytes: int64(intArg(t, d, "memory", 1<<40)), ResultRetention: millisArg(t, d, "keep", 4000),
	}
	var servers []Server
	for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
		fields := append(strings.Fields(line), "", "")
		servers = append(servers, Server{ID: fields[0], Address: fields[0], Zone: fields[1], Region: fields[2]})
	}
	x.scheduler.SetPool(name, spec, servers)
}

func (x *scriptRunner) parseJob(t *testing.T, d *datadriven.TestData, id string) Job {
	j := Job{
		ID: id, Key: "key-" + id, Priority: intArg(t, d, "rank", 0), ObjectiveDeadline: x.now + millisArg(t, d, "due", 2000),
		Deadline: x.now + millisArg(t, d, "deadline", 10000), RequestDuration: millisArg(t, d, "after", 0), Residency: residency.Unrestricted(),
	}
	if d.HasArg("region") {
		var region string
		d.ScanArgs(t, "region", &region)
		j.Residency = residency.Only(region)
	}
	if d.HasArg("zone") {
		d.ScanArgs(t, "zone", &j.ReaderZone)
	}
	for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		if fields[0] == "made" {
			j.PriorResults = append(j.PriorResults, ResultLocation{Stage: atoi(t, fields[1]), Piece: atoi(t, fields[2]), Handle: fields[3], ServerID: fields[4]})
			continue
		}
		st := Stage{Pool: fields[0], Pieces: atoi(t, fields[1]), ResultBytes: int64(atoi(t, fields[2]))}
		if len(fields) > 3 {
			for a := range strings.SplitSeq(fields[3], ",") {
				st.DependsOn = append(st.DependsOn, atoi(t, a))
			}
		}
		j.Stages = append(j.Stages, st)
	}
	return j
}

func (x *scriptRunner) endCall(t *testing.T, d *datadriven.TestData) {
	callID := uint64(intArg(t, d, "call", 0))
	status := Answered
	if d.HasArg("end") {
		var word string
		d.ScanArgs(t, "end", &word)
		status = map[string]CallStatus{"full": ServerFull, "gone": ServerGone, "broken": Incomplete}[word]
	}
	outcomes := []string{}
	if d.HasArg("outcomes") {
		var words string
		d.ScanArgs(t, "outcomes", &words)
		outcomes = strings.Split(words, "+")
	}
	c := x.calls[callID]
	results := make([]Result, len(c.Items))
	for i, it := range c.Items {
		results[i] = Result{Handle: fmt.Sprintf("%s/%s.%d.%d.%d", c.Server.ID, it.JobID, it.Stage, it.Piece, callID)}
		if i < len(outcomes) && outcomes[i] != "made" {
			results[i] = Result{Outcome: map[string]Outcome{"late": DeadlinePassed, "gone": InputMissing, "memory": OutOfMemory, "error": Failed}[outcomes[i]]}
		}
	}
	x.scheduler.CallDone(x.now, callID, CallResult{Status: status, Results: results, RetryAfter: millisArg(t, d, "retry", 0)})
}

// formatActions formats the actions since the last command and records the calls.
func (x *scriptRunner) formatActions() string {
	var lines []string
	actions := x.scheduler.TakeActions()
	for _, c := range actions.Calls {
		x.calls[c.ID] = c
		var items []string
		for _, it := range c.Items {
			item := fmt.Sprintf("%s.%d.%d", it.JobID, it.Stage, it.Piece)
			if len(it.Inputs) > 0 {
				item += "<" + strconv.Itoa(len(it.Inputs))
			}
			items = append(items, item)
		}
		lines = append(lines, fmt.Sprintf("call %d at %s: %s", c.ID, c.Server.ID, strings.Join(items, " ")))
	}
	for _, f := range actions.FreeRequests {
		sort.Strings(f.Handles)
		lines = append(lines, fmt.Sprintf("free %d at %s: %s", f.ID, f.Server.ID, strings.Join(f.Handles, " ")))
	}
	for _, r := range actions.Refusals {
		lines = append(lines, fmt.Sprintf("refused %s: %s, return %v", r.JobID, r.Reason, r.RetryAfter > 0))
	}
	for _, j := range actions.CompletedJobs {
		lines = append(lines, fmt.Sprintf("done %s: %s", j.JobID, strings.Join(j.Handles, " ")))
	}
	sort.Strings(lines)
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

func intArg(t *testing.T, d *datadriven.TestData, name string, def int) int {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &def)
	}
	return def
}

func millisArg(t *testing.T, d *datadriven.TestData, name string, def int) time.Duration {
	return time.Duration(intArg(t, d, name, def)) * time.Millisecond
}

func atoi(t *testing.T, s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
