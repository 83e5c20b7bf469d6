package staging

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSessions runs whole sessions from testdata. Commands:
//
//	pool name=P batch=N call=MS item=MS memory=BYTES keep=MS [slots=N]   servers as lines "ID ZONE"
//	job id=J due=MS deadline=MS [rank=N] [after=MS] [zone=Z]             stages as lines "POOL PIECES BYTES [AFTER,..]"
//	done call=N [end=full|gone|broken] [outcomes=made,gone,memory,error] [at=MS]
//	tick, started, release, hold, freed id=N
//
// Each takes at=MS, the time, and prints the actions that follow.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{s: New(), calls: map[uint64]Call{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
	})
}

type session struct {
	s     *Scheduler
	now   time.Duration
	calls map[uint64]Call
}

func (x *session) run(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		x.now = millis(t, d, "at", 0)
	}
	var id string
	if d.HasArg("id") {
		d.ScanArgs(t, "id", &id)
	}
	switch d.Cmd {
	case "pool":
		x.pool(t, d)
	case "job":
		x.s.Submit(x.now, x.job(t, d, id))
	case "done":
		x.done(t, d)
	case "tick":
		x.s.Tick(x.now)
	case "started":
		x.s.Started(x.now, id)
	case "release":
		x.s.Release(x.now, id)
	case "hold":
		x.s.Hold(id)
	case "freed":
		n, err := strconv.Atoi(id)
		if err != nil {
			d.Fatalf(t, "id: %v", err)
		}
		x.s.FreeDone(x.now, uint64(n))
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return x.actions()
}

func (x *session) pool(t *testing.T, d *datadriven.TestData) {
	var name string
	d.ScanArgs(t, "name", &name)
	spec := Spec{
		Slots: number(t, d, "slots", 1), Batch: number(t, d, "batch", 1),
		CallTime: millis(t, d, "call", 0), ItemTime: millis(t, d, "item", 0),
		Memory: int64(number(t, d, "memory", 1<<40)), Keep: millis(t, d, "keep", 4000),
	}
	var servers []Server
	for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
		id, zone, _ := strings.Cut(line, " ")
		servers = append(servers, Server{ID: id, Address: id, Zone: zone})
	}
	x.s.SetPool(name, spec, servers)
}

func (x *session) job(t *testing.T, d *datadriven.TestData, id string) Job {
	j := Job{
		ID: id, Key: "key-" + id, Rank: number(t, d, "rank", 0), Due: x.now + millis(t, d, "due", 2000),
		Deadline: x.now + millis(t, d, "deadline", 10000), After: millis(t, d, "after", 0),
	}
	if d.HasArg("zone") {
		d.ScanArgs(t, "zone", &j.Zone)
	}
	for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(line)
		if f[0] == "made" {
			j.Made = append(j.Made, MadeResult{Stage: atoi(t, f[1]), Piece: atoi(t, f[2]), Handle: f[3], Server: f[4]})
			continue
		}
		st := Stage{Pool: f[0], Pieces: atoi(t, f[1]), Bytes: int64(atoi(t, f[2]))}
		if len(f) > 3 {
			for a := range strings.SplitSeq(f[3], ",") {
				st.After = append(st.After, atoi(t, a))
			}
		}
		j.Stages = append(j.Stages, st)
	}
	return j
}

func (x *session) done(t *testing.T, d *datadriven.TestData) {
	n := uint64(number(t, d, "call", 0))
	end := Answered
	if d.HasArg("end") {
		var word string
		d.ScanArgs(t, "end", &word)
		end = map[string]CallEnd{"full": Full, "gone": Gone, "broken": Broken}[word]
	}
	outcomes := []string{}
	if d.HasArg("outcomes") {
		var words string
		d.ScanArgs(t, "outcomes", &words)
		outcomes = strings.Split(words, "+")
	}
	c := x.calls[n]
	results := make([]Result, len(c.Items))
	for i, it := range c.Items {
		results[i] = Result{Handle: fmt.Sprintf("%s/%s.%d.%d.%d", c.Server.ID, it.JobID, it.Stage, it.Piece, n)}
		if i < len(outcomes) && outcomes[i] != "made" {
			results[i] = Result{Outcome: map[string]Outcome{"late": Late, "gone": InputGone, "memory": NoMemory, "error": Failed}[outcomes[i]]}
		}
	}
	x.s.CallDone(x.now, n, end, results)
}

// actions prints and remembers the actions since the last command.
func (x *session) actions() string {
	var lines []string
	acts := x.s.Take()
	for _, c := range acts.Calls {
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
	for _, f := range acts.Frees {
		sort.Strings(f.Handles)
		lines = append(lines, fmt.Sprintf("free %d at %s: %s", f.ID, f.Server.ID, strings.Join(f.Handles, " ")))
	}
	for _, r := range acts.Refused {
		lines = append(lines, fmt.Sprintf("refused %s: %s, return %v", r.JobID, r.Reason, r.RetryAfter > 0))
	}
	for _, j := range acts.Done {
		lines = append(lines, fmt.Sprintf("done %s: %s", j.JobID, strings.Join(j.Handles, " ")))
	}
	sort.Strings(lines)
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

func number(t *testing.T, d *datadriven.TestData, name string, def int) int {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &def)
	}
	return def
}

func millis(t *testing.T, d *datadriven.TestData, name string, def int) time.Duration {
	return time.Duration(number(t, d, name, def)) * time.Millisecond
}

func atoi(t *testing.T, s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
