//go:build review

// Package fleet runs entries of magnoliawheel as separate processes, with the command of the deploy
// file, beside stand-ins of the store, the backend servers and the clients. The cases of the review
// use it. All addresses are loopback addresses.
package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// The bounds of the small deployment, as its settings have them.
const (
	Heartbeat   = 1200 * time.Millisecond
	Contact     = 3000 * time.Millisecond
	DrainBound  = 2500 * time.Millisecond
	RevokeBound = 5000 * time.Millisecond
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Zones maps the availability zones of the deployment to their regions.
var Zones = map[string]string{"amman-a": "amman", "aqaba-a": "aqaba", "irbid-a": "irbid"}

// zoneNames are the zones in the order in which entries and servers are put there.
var zoneNames = []string{"amman-a", "aqaba-a", "irbid-a"}

// Fleet is a store, servers, entries and the record of what happens.
type Fleet struct {
	Store *standin.Store
	// Trouble is false if the case is to run without its disruption.
	Trouble bool

	dir     string
	started time.Time
	entries []*Entry

	mu     sync.Mutex
	record *os.File
	// servers are all servers that were started.
	servers []*Server
}

// Run plays a case: it writes the record into the folder that the first argument names, ends all
// processes, and exits with 1 if play returns a broken rule, with 0 if it returns "", and with 2 if
// the case could not run.
func Run(play func(f *Fleet) (broken string)) {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], play))
}

func run(folder string, play func(f *Fleet) string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f := &Fleet{Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, started: time.Now(), record: record}
	defer func() {
		if r := recover(); r != nil {
			f.Note("case could not run: %v", r)
			fmt.Println("case could not run:", r)
			code = exitNotRun
		}
		f.stop()
	}()
	f.Note("trouble: %t", f.Trouble)
	broken := play(f)
	if broken == "" {
		f.Note("RESULT: the rule held")
		fmt.Println("held")
		return exitHeld
	}
	f.Note("RESULT: broken: %s", broken)
	fmt.Println("broken:", broken)
	return exitBroken
}

// stop ends all processes and stand-ins.
func (f *Fleet) stop() {
	for _, e := range f.entries {
		e.Kill()
	}
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, s := range servers {
		s.Crash()
	}
	f.Store.CloseClientConnections()
	f.Store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs of the entries:", f.dir)
	} else {
		_ = os.RemoveAll(f.dir)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Close()
	f.record = nil
}

// Elapsed returns the time since the case began.
func (f *Fleet) Elapsed() time.Duration { return time.Since(f.started) }

// Note writes a line with the time into the record.
func (f *Fleet) Note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.record != nil {
		_, _ = fmt.Fprintf(f.record, "%8.3f %s\n", f.Elapsed().Seconds(), fmt.Sprintf(format, args...))
	}
}

// fail ends a case that cannot run.
func fail(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// Wait waits until done returns true; the case cannot run if that takes longer than the timeout.
func Wait(what string, timeout time.Duration, done func() bool) {
	for end := time.Now().Add(timeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			fail("%s: not within %v", what, timeout)
		}
	}
}
