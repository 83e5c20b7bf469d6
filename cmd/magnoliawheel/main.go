// Command magnoliawheel runs an entry or an agent.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"
	"github.com/uber-go/tally/v4"

	"github.com/magnoliawheel/magnoliawheel/internal/agent"
	"github.com/magnoliawheel/magnoliawheel/internal/cli"
	"github.com/magnoliawheel/magnoliawheel/internal/entry"
	"github.com/magnoliawheel/magnoliawheel/internal/node"
	"github.com/magnoliawheel/magnoliawheel/internal/settings"
	"github.com/magnoliawheel/magnoliawheel/internal/telemetry"
	"github.com/magnoliawheel/magnoliawheel/platform"
)

// Exit codes in addition to those of package cli. docs/OPERATIONS.md lists them.
const (
	exitSettings    = 3
	exitInterrupted = 4
)

// logFlushTimeout is the timeout for writing buffered log lines at exit.
const logFlushTimeout = 300 * time.Millisecond

type entryCommand struct {
	Settings string `short:"s" long:"settings" required:"true" description:"Settings file (TOML)"`
}

type agentCommand struct {
	Settings string `short:"s" long:"settings" required:"true" description:"Settings file (TOML)"`
}

type gatewayCommand struct {
	LogLevel    string `long:"log-level" default:"info" description:"Least level of the lines logged"`
	MetricsPort int    `long:"metrics-port" description:"Port on which metrics are served at /metrics; none by default"`
}

type checkCommand struct {
	Role string `long:"role" choice:"entry" choice:"agent" required:"true" description:"Role that the file is for"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

func main() { cli.Run("magnoliawheel", register) }

func register(parser *flags.Parser) {
	cli.AddCommand(parser.Command, "entry", "Run an entry", "Example: magnoliawheel entry -s entry.toml", &entryCommand{})
	cli.AddCommand(parser.Command, "agent", "Run an agent beside a backend server", "Example: magnoliawheel agent -s agent.toml", &agentCommand{})
	cli.AddCommand(parser.Command, "gateway", "Run an entry on the users' platform",
		"The platform names the settings file. Example: magnoliawheel gateway", &gatewayCommand{})
	cli.AddCommand(parser.Command, "check-settings", "List all mistakes of a settings file",
		"Example: magnoliawheel check-settings --role entry entry.toml", &checkCommand{})
}

// settingsError is an error in the settings or flags, which has its own exit code.
type settingsError struct{ error }

// ExitCode implements cli.ExitCoder.
func (settingsError) ExitCode() int { return exitSettings }

// Execute runs the entry.
func (c *entryCommand) Execute([]string) error {
	hangups := notifyHangups()
	load := func() (*settings.Entry, error) { return settings.LoadEntry(c.Settings) }
	s, err := load()
	if err != nil {
		return settingsError{err}
	}
	return run("entry", s.Log.Level, func(log logr.Logger, scope tally.Scope, metrics http.Handler) (process, error) {
		go watchSettings(s, load, hangups, log.WithName("settings"))
		return entry.New(entry.Options{Settings: s, Log: log, Scope: scope, Metrics: metrics})
	})
}

// Execute runs the agent.
func (c *agentCommand) Execute([]string) error {
	hangups := notifyHangups()
	load := func() (*settings.Agent, error) { return settings.LoadAgent(c.Settings) }
	s, err := load()
	if err != nil {
		return settingsError{err}
	}
	return run("agent", s.Log.Level, func(log logr.Logger, scope tally.Scope, metrics http.Handler) (process, error) {
		go watchSettings(s, load, hangups, log.WithName("settings"))
		return agent.New(agent.Options{Settings: s, Log: log, Scope: scope, Metrics: metrics})
	})
}

// Execute runs the entry on the users' platform until the first SIGTERM or SIGINT.
func (c *gatewayCommand) Execute([]string) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := notifyHangups()
	s, err := platform.LoadSettings()
	if err != nil {
		return settingsError{err}
	}
	debug.SetMemoryLimit(s.MemoryLimitBytes / 2)
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	log, err := telemetry.Logger(out, c.LogLevel)
	if err != nil {
		return settingsError{err}
	}
	scope, metrics, closer := telemetry.Metrics("gateway")
	defer func() { _ = closer.Close() }()
	stop := make(chan struct{})
	go watchSettings(s, platform.LoadSettings, hangups, log.WithName("settings"))
	go func() {
		<-signals
		close(stop)
	}()
	return node.New(node.Options{
		Settings: s, Log: log, Scope: scope, Metrics: metrics, MetricsPort: c.MetricsPort, LoadBalancerLag: node.LoadBalancerLag,
	}).Run(stop)
}

// notifyHangups returns a channel that receives SIGHUP, which then does not end the process.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reads the settings file again on SIGHUP and logs whether it differs
// from the settings in use. It applies nothing: addresses and limits are read only at
// startup, and the process is restarted to change them.
func watchSettings[S any](current *S, load func() (*S, error), hangups <-chan os.Signal, log logr.Logger) {
	for range hangups {
		s, err := load()
		if err != nil {
			log.Error(err, "Could not load the settings file; the current settings stay in use.")
			continue
		}
		log.Info("Settings file read.", "changed", !reflect.DeepEqual(s, current), "takes_effect", "at the next start")
	}
}

// Execute validates the settings file.
func (c *checkCommand) Execute([]string) error {
	var err error
	if c.Role == "entry" {
		_, err = settings.LoadEntry(c.Args.File)
	} else {
		_, err = settings.LoadAgent(c.Args.File)
	}
	if err != nil {
		return settingsError{err}
	}
	fmt.Println(c.Args.File, "is valid")
	return nil
}

// process is an entry or an agent.
type process interface {
	Run(ctx context.Context) error
	WriteCut(w io.Writer)
}

// run builds a process and runs it. The first signal drains the process. On the second
// one, it writes which work is interrupted and exits at once.
func run(role, level string, build func(logr.Logger, tally.Scope, http.Handler) (process, error)) error {
	log, err := telemetry.Logger(os.Stderr, level)
	if err != nil {
		return settingsError{err}
	}
	scope, metrics, closer := telemetry.Metrics(role)
	defer func() { _ = closer.Close() }()
	p, err := build(log.WithName(role), scope, metrics)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		p.WriteCut(os.Stderr)
		os.Exit(exitInterrupted)
	}()
	return p.Run(ctx)
}
