// Package settings reads the settings files of entries and agents: TOML, strict,
// with all mistakes reported at once. The doc tags are the source of
// docs/SETTINGS.md.
package settings

import (
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/admission"
	"github.com/magnoliawheel/magnoliawheel/core/retry"
	"github.com/magnoliawheel/magnoliawheel/core/routing"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// Instance says who and where a process is.
type Instance struct {
	ID     string `toml:"id" doc:"Name of the instance, unique in the deployment."`
	Zone   string `toml:"zone" doc:"Availability zone of the instance."`
	Region string `toml:"region" doc:"Region of the instance."`
}

// Platform names the platform's services.
type Platform struct {
	LogURL  string `toml:"log_url" doc:"Base URL of the append-only log."`
	ListURL string `toml:"list_url" doc:"Base URL of the instance list."`
}

// Security names the files that hold secrets.
type Security struct {
	PeerSecretFile string `toml:"peer_secret_file" doc:"File with the secret shared by all entries and agents, at least 16 bytes. Relative to the settings file."`
	AdminKeysFile  string `toml:"admin_keys_file" doc:"File with administration keys, one a line: role (read or write), name, key. Relative to the settings file."`
}

// Log sets up logging.
type Log struct {
	Level string `toml:"level" doc:"debug, info, warn or error. Default info."`
}

// Entry holds the settings of an entry.
type Entry struct {
	Instance Instance    `toml:"instance"`
	Listen   EntryListen `toml:"listen"`
	Platform Platform    `toml:"platform"`
	Security Security    `toml:"security"`
	Policy   Policy      `toml:"policy"`
	Limits   EntryLimits `toml:"limits"`
	Log      Log         `toml:"log"`
}

// EntryListen holds the addresses of an entry.
type EntryListen struct {
	Callers string `toml:"callers" doc:"Address for callers' HTTP."`
	Peers   string `toml:"peers" doc:"Address for other entries and agents, by IP number."`
	Admin   string `toml:"admin" doc:"Address for the admin API, health, readiness, metrics and pprof."`
}

// EntryLimits bounds what an entry accepts.
type EntryLimits struct {
	Requests      int             `toml:"requests" doc:"Greatest number of requests in flight. Default 2048."`
	HeaderBytes   int             `toml:"header_bytes" doc:"Greatest size of request headers in bytes. Default 16384."`
	ReadTimeout   schema.Duration `toml:"read_timeout" doc:"Greatest time for a caller to send its body. Default 10s."`
	WriteTimeout  schema.Duration `toml:"write_timeout" doc:"Greatest time for a caller to take one write. Default 10s."`
	DrainLag      schema.Duration `toml:"drain_lag" doc:"How long an entry goes on taking requests after SIGTERM, while the balancer learns of it. Default 2s."`
	KeepAnswers   schema.Duration `toml:"keep_answers" doc:"How long a finished answer is kept for re-attachment. Default 30s."`
	AnswerMemory  int64           `toml:"answer_memory_bytes" doc:"Greatest memory for answers kept, in bytes. Default 67108864."`
	SubsetServers int             `toml:"subset_servers" doc:"Servers of each pool that the entry keeps in touch with. Default 24."`
}

// Policy selects policies; the others are baselines for experiments.
type Policy struct {
	Routing   routing.Policy   `toml:"routing" doc:"least-finish or round-robin. Default least-finish."`
	Admission admission.Policy `toml:"admission" doc:"feasible or everything. Default feasible."`
	Retry     retry.Policy     `toml:"retry" doc:"budgeted or three-times. Default budgeted."`
	Hedge     string           `toml:"hedge" doc:"late-quantile or off. Default late-quantile."`
	Payloads  string           `toml:"payloads" doc:"reference or through-entry. Default reference."`
}

// Agent holds the settings of an agent.
type Agent struct {
	Instance Instance    `toml:"instance"`
	Listen   AgentListen `toml:"listen"`
	Server   Server      `toml:"server"`
	Platform Platform    `toml:"platform"`
	Security Security    `toml:"security"`
	Limits   AgentLimits `toml:"limits"`
	Log      Log         `toml:"log"`
	// Experiment is for experiments alone.
	Experiment Experiment `toml:"experiment"`
}

// Experiment stands in for what one machine lacks.
type Experiment struct {
	RegionDelay schema.Duration `toml:"region_delay" doc:"Delay added to calls from entries of other regions, which stands in for the distance in experiments. Default 0s."`
}

// AgentListen holds the addresses of an agent.
type AgentListen struct {
	Peers string `toml:"peers" doc:"Address for entries and other agents, by IP number."`
	Admin string `toml:"admin" doc:"Address for health, readiness, metrics and pprof."`
}

// Server describes the backend server beside the agent.
type Server struct {
	Pool string `toml:"pool" doc:"Pool of the schema that the server belongs to."`
	URL  string `toml:"url" doc:"Base URL of the backend server."`
	// Orders lists the instances that may give orders.
	Orders []string `toml:"orders_from" doc:"Instances that may give orders to the server through this agent. Empty allows none."`
}

// AgentLimits bounds what an agent keeps.
type AgentLimits struct {
	KeptBytes  int64           `toml:"kept_bytes" doc:"Greatest memory for results not acknowledged, in bytes. Default 33554432."`
	DrainGrace schema.Duration `toml:"drain_grace" doc:"How long unacknowledged results are kept after SIGTERM. Default 30s."`
	Queue      string          `toml:"queue" doc:"fair or fifo. Default fair."`
}

// LoadEntry reads and checks an entry's settings. The error is schema.ValidationErrors
// or of the file system.
func LoadEntry(path string) (*Entry, error) {
	e := &Entry{}
	text, err := decodeFile(path, e)
	if err != nil {
		return nil, err
	}
	e.fill(path)
	return e, mistakesOrNil(text, e.check())
}

// LoadAgent reads and checks an agent's settings. The error is schema.ValidationErrors
// or of the file system.
func LoadAgent(path string) (*Agent, error) {
	a := &Agent{}
	text, err := decodeFile(path, a)
	if err != nil {
		return nil, err
	}
	a.fill(path)
	return a, mistakesOrNil(text, a.check())
}

func decodeFile(path string, v any) (text []byte, err error) {
	text, err = os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return text, mistakesOrNil(text, schema.Decode(text, v))
}

func mistakesOrNil(text []byte, m schema.ValidationErrors) error {
	if len(m) == 0 {
		return nil
	}
	locate(text, m)
	return m
}

func (s *Security) resolve(path string) {
	dir := filepath.Dir(path)
	for _, f := range []*string{&s.PeerSecretFile, &s.AdminKeysFile} {
		if *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(dir, *f)
		}
	}
}

// PeerSecret reads the shared secret, without surrounding white space.
func (s *Security) PeerSecret() ([]byte, error) {
	b, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, errors.Wrap(err, "read peer secret")
	}
	return []byte(strings.TrimSpace(string(b))), nil
}

type checker struct{ list schema.ValidationErrors }

func (c *checker) add(place, reason string) {
	c.list = append(c.list, schema.ValidationError{Path: place, Reason: reason})
}

func (c *checker) present(place, value string) {
	if value == "" {
		c.add(place, "a value is needed")
	}
}

func (c *checker) address(place, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.add(place, "an address has the form IP:port")
	}
}

func (c *checker) url(place, value string) {
	if !strings.HasPrefix(value, "http://") && !strings.HasPrefix(value, "https://") {
		c.add(place, "a URL starts with http:// or https://")
	}
}

func (c *checker) oneOf(place, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(place, "allowed are "+strings.Join(allowed, ", "))
}

func (c *checker) common(i Instance, p Platform, s Security, l Log) {
	c.present("instance.id", i.ID)
	c.present("instance.zone", i.Zone)
	c.present("instance.region", i.Region)
	c.url("platform.log_url", p.LogURL)
	c.url("platform.list_url", p.ListURL)
	c.present("security.peer_secret_file", s.PeerSecretFile)
	c.oneOf("log.level", l.Level, "debug", "info", "warn", "error")
}
