// Package settings reads the TOML settings files of entries and agents. Unknown keys
// are errors, and all errors of a file are reported together. docs/SETTINGS.md is
// generated from the doc tags.
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

// Instance identifies a process and its location.
type Instance struct {
	ID     string `toml:"id" doc:"Name of the instance, unique in the deployment."`
	Zone   string `toml:"zone" doc:"Availability zone of the instance."`
	Region string `toml:"region" doc:"Region of the instance."`
}

// Platform holds the addresses of the platform services.
type Platform struct {
	LogURL          string `toml:"log_url" doc:"Base URL of the append-only log."`
	InstanceListURL string `toml:"list_url" doc:"Base URL of the instance list."`
}

// Security holds the paths of the files with secrets.
type Security struct {
	PeerSecretFile string `toml:"peer_secret_file" doc:"File with the secret shared by all entries and agents, at least 16 bytes. Relative to the settings file."`
	AdminKeysFile  string `toml:"admin_keys_file" doc:"File with administration keys, one a line: role (read or write), name, key. Relative to the settings file."`
}

// Log configures logging.
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

// EntryListen holds the addresses that an entry listens on.
type EntryListen struct {
	Callers string `toml:"callers" doc:"Address for callers' HTTP."`
	Peers   string `toml:"peers" doc:"Address for other entries and agents, by IP number."`
	Admin   string `toml:"admin" doc:"Address for the admin API, health, readiness, metrics and pprof."`
}

// EntryLimits holds the resource limits and timeouts of an entry.
type EntryLimits struct {
	MaxRequests       int             `toml:"requests" doc:"Greatest number of requests in flight. Default 2048."`
	MaxHeaderBytes    int             `toml:"header_bytes" doc:"Greatest size of request headers in bytes. Default 16384."`
	ReadTimeout       schema.Duration `toml:"read_timeout" doc:"Greatest time for a caller to send its body. Default 10s."`
	WriteTimeout      schema.Duration `toml:"write_timeout" doc:"Greatest time for a caller to take one write. Default 10s."`
	DrainDelay        schema.Duration `toml:"drain_lag" doc:"How long an entry goes on taking requests after SIGTERM, while the balancer learns of it. Default 2s."`
	AnswerRetention   schema.Duration `toml:"keep_answers" doc:"How long a finished answer is kept for re-attachment. Default 30s."`
	AnswerMemoryBytes int64           `toml:"answer_memory_bytes" doc:"Greatest memory for answers kept, in bytes. Default 67108864."`
	SubsetSize        int             `toml:"subset_servers" doc:"Servers of each pool that the entry keeps in touch with. Default 24."`
	// The bounds of what callers hold together.
	MaxConnections        int   `toml:"connections" doc:"Greatest number of connections of callers, and no more than 45 in 100 of the descriptors that the system allows. The one that costs most is closed for a new one. Default 4096."`
	ConnectionMemoryBytes int64 `toml:"connection_memory_bytes" doc:"Greatest memory for the connections of callers and the headers of their requests, in bytes. Default 67108864."`
	BodyMemoryBytes       int64 `toml:"body_memory_bytes" doc:"Greatest memory for the bodies of requests, until they are answered, in bytes. A request for whose body there is none is refused. Default 33554432."`
}

// Policy selects the policies of an entry. The values other than the defaults are
// baselines for experiments.
type Policy struct {
	Routing         routing.Policy   `toml:"routing" doc:"least-finish or round-robin. Default least-finish."`
	Admission       admission.Policy `toml:"admission" doc:"feasible or everything. Default feasible."`
	Retry           retry.Policy     `toml:"retry" doc:"budgeted or three-times. Default budgeted."`
	Hedge           string           `toml:"hedge" doc:"late-quantile or off. Default late-quantile."`
	PayloadTransfer string           `toml:"payloads" doc:"reference or through-entry. Default reference."`
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
	// Experiment is empty except in experiments.
	Experiment Experiment `toml:"experiment"`
}

// Experiment simulates conditions that an experiment on one machine lacks.
type Experiment struct {
	RegionDelay schema.Duration `toml:"region_delay" doc:"Delay added to calls from entries of other regions, which stands in for the distance in experiments. Default 0s."`
}

// AgentListen holds the addresses that an agent listens on.
type AgentListen struct {
	Peers string `toml:"peers" doc:"Address for entries and other agents, by IP number."`
	Admin string `toml:"admin" doc:"Address for health, readiness, metrics and pprof."`
}

// Server describes the backend server of the agent.
type Server struct {
	Pool string `toml:"pool" doc:"Pool of the schema that the server belongs to."`
	URL  string `toml:"url" doc:"Base URL of the backend server."`
	// OrdersFrom lists the ids of the instances whose orders the agent accepts.
	OrdersFrom []string `toml:"orders_from" doc:"Instances that may give orders to the server through this agent. Empty allows none."`
}

// AgentLimits holds the resource limits of an agent and its queue policy.
type AgentLimits struct {
	KeptBytes        int64           `toml:"kept_bytes" doc:"Greatest memory for results not acknowledged, in bytes. Default 33554432."`
	DrainGracePeriod schema.Duration `toml:"drain_grace" doc:"How long unacknowledged results are kept after SIGTERM. Default 30s."`
	QueuePolicy      string          `toml:"queue" doc:"fair or fifo. Default fair."`
}

// LoadEntry reads and validates an entry's settings. It returns schema.ValidationErrors
// or an error of the file system.
func LoadEntry(path string) (*Entry, error) {
	e := &Entry{}
	text, err := decodeFile(path, e)
	if err != nil {
		return nil, err
	}
	e.applyDefaults(path)
	return e, withLineNumbers(text, e.validate())
}

// LoadAgent reads and validates an agent's settings. It returns schema.ValidationErrors
// or an error of the file system.
func LoadAgent(path string) (*Agent, error) {
	a := &Agent{}
	text, err := decodeFile(path, a)
	if err != nil {
		return nil, err
	}
	a.applyDefaults(path)
	return a, withLineNumbers(text, a.validate())
}

func decodeFile(path string, v any) (text []byte, err error) {
	text, err = os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return text, withLineNumbers(text, schema.Decode(text, v))
}

// withLineNumbers returns errs with line numbers as an error, or nil if errs is empty.
func withLineNumbers(text []byte, errs schema.ValidationErrors) error {
	if len(errs) == 0 {
		return nil
	}
	addLineNumbers(text, errs)
	return errs
}

// resolvePaths makes the paths of the secret files relative to the directory of the
// settings file.
func (s *Security) resolvePaths(path string) {
	dir := filepath.Dir(path)
	for _, f := range []*string{&s.PeerSecretFile, &s.AdminKeysFile} {
		if *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(dir, *f)
		}
	}
}

// PeerSecret reads the shared secret and trims surrounding white space.
func (s *Security) PeerSecret() ([]byte, error) {
	b, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, errors.Wrap(err, "read peer secret")
	}
	return []byte(strings.TrimSpace(string(b))), nil
}

// checker collects validation errors.
type checker struct{ errs schema.ValidationErrors }

func (c *checker) add(path, reason string) {
	c.errs = append(c.errs, schema.ValidationError{Path: path, Reason: reason})
}

func (c *checker) checkRequired(path, value string) {
	if value == "" {
		c.add(path, "a value is needed")
	}
}

func (c *checker) checkAddress(path, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.add(path, "an address has the form IP:port")
	}
}

func (c *checker) checkURL(path, value string) {
	if !strings.HasPrefix(value, "http://") && !strings.HasPrefix(value, "https://") {
		c.add(path, "a URL starts with http:// or https://")
	}
}

func (c *checker) checkOneOf(path, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(path, "allowed are "+strings.Join(allowed, ", "))
}

func (c *checker) checkCommon(i Instance, p Platform, s Security, l Log) {
	c.checkRequired("instance.id", i.ID)
	c.checkRequired("instance.zone", i.Zone)
	c.checkRequired("instance.region", i.Region)
	c.checkURL("platform.log_url", p.LogURL)
	c.checkURL("platform.list_url", p.InstanceListURL)
	c.checkRequired("security.peer_secret_file", s.PeerSecretFile)
	c.checkOneOf("log.level", l.Level, "debug", "info", "warn", "error")
}
