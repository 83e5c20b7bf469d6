package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/magnoliawheel/magnoliawheel/test/standin/instancelist"
	"github.com/magnoliawheel/magnoliawheel/test/standin/spec"
)

const (
	// AdminKey is the key for the admin API in every deployment. It has the write role.
	AdminKey = "admin-key-for-tests"

	peerSecret = "a secret for tests on loopback"
)

// Zone is an availability zone and the region that it belongs to.
type Zone struct{ Name, Region string }

// Config describes the processes of a deployment and their settings.
type Config struct {
	Name     string
	Binaries Binaries
	// Dir is the directory for settings files, logs and the execution record.
	Dir string
	// SchemaFile is the schema applied after the processes have started.
	SchemaFile string
	Zones      []Zone
	Entries    int
	Servers    []Server
	// LogService configures the stand-in for the platform's log. Name and Kind are set by
	// Start.
	LogService spec.StandIn
	// EntrySettings and AgentSettings are appended to the settings file of each entry and
	// each agent.
	EntrySettings, AgentSettings string
	// PerEntrySettings, if not nil, returns settings to append for the entry with index i.
	PerEntrySettings func(i int) string
}

// Server describes a backend server and its agent.
type Server struct {
	// Name is the name of the stand-in and the instance ID of the agent.
	Name string
	Pool string
	// Zone is an index into Config.Zones, modulo its length.
	Zone int
	// Spec configures the stand-in. Its name is set to Name.
	Spec spec.StandIn
	// SeparateProcess runs the stand-in in its own process, so that it can be killed
	// without the others.
	SeparateProcess bool
	// RelayServer puts a relay between the agent and its server, RelayAgent one between
	// the other instances and the agent.
	RelayServer, RelayAgent bool
}

// Deployment is a running set of entries, agents and stand-ins.
type Deployment struct {
	config  Config
	Entries []*Instance
	Agents  []*Instance
	// Standins are the processes that run stand-ins. The first one runs the platform's log
	// and instance list.
	Standins []*Process
	// StandinAddrs maps the name of a stand-in to its address.
	StandinAddrs map[string]string

	mu        sync.Mutex
	instances []instancelist.Instance
}

// Instance is an entry or an agent and its process.
type Instance struct {
	*Process
	ID string
	// CallerURL is the base URL for callers, set for entries only.
	CallerURL string
	// AdminURL is the base URL of the admin API.
	AdminURL string
	// PeerAddr is the address on which the instance listens for other instances.
	PeerAddr string
	// Server describes the server of an agent. It is the zero value for entries.
	Server Server
	// ServerRelay and AgentRelay are set if Server.RelayServer and Server.RelayAgent are.
	ServerRelay, AgentRelay *Relay

	args []string
}

// Start starts all processes, applies the schema and waits until every instance is
// ready. If that fails, it stops what it has started.
func Start(ctx context.Context, config Config) (*Deployment, error) {
	d := &Deployment{config: config, StandinAddrs: map[string]string{}}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, fmt.Errorf("deployment %s in %s: %w", config.Name, config.Dir, err)
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := os.MkdirAll(d.config.Dir, 0o700); err != nil {
		return err
	}
	if err := d.writeSecrets(); err != nil {
		return err
	}
	if err := d.startStandins(); err != nil {
		return err
	}
	for _, s := range d.config.Servers {
		if err := d.addAgent(s); err != nil {
			return err
		}
	}
	for i := range d.config.Entries {
		if err := d.addEntry(i); err != nil {
			return err
		}
	}
	if err := d.publishInstances(); err != nil {
		return err
	}
	for _, i := range slices.Concat(d.Agents, d.Entries) {
		if err := d.Restart(i); err != nil {
			return err
		}
	}
	if err := d.ApplySchema(ctx, d.config.SchemaFile); err != nil {
		return err
	}
	return d.WaitReady(ctx)
}

func (d *Deployment) writeSecrets() error {
	if err := d.writeConfigFile("peer.secret", peerSecret+"\n"); err != nil {
		return err
	}
	return d.writeConfigFile("admin.keys", "write harness "+AdminKey+"\n")
}

func (d *Deployment) writeConfigFile(name, text string) error {
	return os.WriteFile(filepath.Join(d.config.Dir, name), []byte(text), 0o600)
}

// addAgent writes the settings of an agent and adds it to the instance list, without
// starting it.
func (d *Deployment) addAgent(s Server) error {
	zone := d.config.Zones[s.Zone%len(d.config.Zones)]
	a := &Instance{ID: s.Name, Server: s, PeerAddr: FreeAddr()}
	admin, server := FreeAddr(), d.StandinAddrs[s.Name]
	a.AdminURL = "http://" + admin
	advertised := a.PeerAddr
	var err error
	if s.RelayAgent {
		if a.AgentRelay, err = StartRelay(a.PeerAddr); err != nil {
			return err
		}
		advertised = a.AgentRelay.Addr()
	}
	if s.RelayServer {
		if a.ServerRelay, err = StartRelay(server); err != nil {
			return err
		}
		server = a.ServerRelay.Addr()
	}
	text := d.commonSettings(s.Name, zone) + fmt.Sprintf(`
[listen]
peers = %q
admin = %q

[server]
pool = %q
url = "http://%s"
orders_from = %s
%s`, a.PeerAddr, admin, s.Pool, server, d.quotedEntryIDs(), d.config.AgentSettings)
	d.Agents = append(d.Agents, a)
	d.instances = append(d.instances, instancelist.Instance{
		ID: a.ID, Role: "agent", Pool: s.Pool, Addr: advertised, AdminAddr: admin, Zone: zone.Name, Region: zone.Region,
	})
	return d.writeSettings(a, "agent", text)
}

// quotedEntryIDs returns the IDs of all entries as a TOML array.
func (d *Deployment) quotedEntryIDs() string {
	var ids []string
	for i := range d.config.Entries {
		ids = append(ids, fmt.Sprintf("%q", entryID(i)))
	}
	return "[" + strings.Join(ids, ", ") + "]"
}

func entryID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// addEntry writes the settings of an entry and adds it to the instance list, without
// starting it.
func (d *Deployment) addEntry(i int) error {
	zone := d.config.Zones[i%len(d.config.Zones)]
	e := &Instance{ID: entryID(i), PeerAddr: FreeAddr()}
	callers, admin := FreeAddr(), FreeAddr()
	e.CallerURL, e.AdminURL = "http://"+callers, "http://"+admin
	text := d.commonSettings(e.ID, zone) + fmt.Sprintf(`
[listen]
callers = %q
peers = %q
admin = %q
%s`, callers, e.PeerAddr, admin, d.config.EntrySettings)
	if d.config.PerEntrySettings != nil {
		text += d.config.PerEntrySettings(i)
	}
	d.Entries = append(d.Entries, e)
	d.instances = append(d.instances, instancelist.Instance{
		ID: e.ID, Role: "entry", Addr: e.PeerAddr, AdminAddr: admin, Zone: zone.Name, Region: zone.Region,
	})
	return d.writeSettings(e, "entry", text)
}

// commonSettings returns the settings that entries and agents have in common.
func (d *Deployment) commonSettings(id string, zone Zone) string {
	return fmt.Sprintf(`[instance]
id = %q
zone = %q
region = %q

[platform]
log_url = "http://%s"
list_url = "http://%s"

[security]
peer_secret_file = "peer.secret"
admin_keys_file = "admin.keys"
`, id, zone.Name, zone.Region, d.StandinAddrs[spec.KindPlatformLog], d.StandinAddrs[spec.KindInstanceList])
}

// writeSettings writes the settings file of an instance and stores the arguments to start
// it with.
func (d *Deployment) writeSettings(i *Instance, role, settings string) error {
	name := i.ID + ".toml"
	i.args = []string{role, "-s", filepath.Join(d.config.Dir, name)}
	return d.writeConfigFile(name, settings)
}

// Restart starts the process of an instance, for the first time or after an exit.
func (d *Deployment) Restart(i *Instance) error {
	p, err := StartProcess(d.config.Dir, i.ID, nil, d.config.Binaries.Magnoliawheel, i.args...)
	if err != nil {
		return err
	}
	i.Process = p
	return nil
}

// SetLeaving sets whether the platform's instance list shows an instance as leaving.
func (d *Deployment) SetLeaving(id string, leaving bool) error {
	d.mu.Lock()
	for i := range d.instances {
		if d.instances[i].ID == id {
			d.instances[i].Leaving = leaving
		}
	}
	d.mu.Unlock()
	return d.publishInstances()
}

// publishInstances sets the contents of the platform's instance list.
func (d *Deployment) publishInstances() error {
	d.mu.Lock()
	instances := slices.Clone(d.instances)
	d.mu.Unlock()
	return d.Control(spec.KindInstanceList, map[string]any{"instances": instances})
}

// Control sets fault switches of the stand-in with the given name.
func (d *Deployment) Control(name string, switches map[string]any) error {
	body, err := json.Marshal(switches)
	if err != nil {
		return err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+d.StandinAddrs[name]+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("set switches of stand-in %s: %s", name, resp.Status)
	}
	return nil
}

// CallerURLs returns the base URLs of all entries.
func (d *Deployment) CallerURLs() []string {
	var urls []string
	for _, e := range d.Entries {
		urls = append(urls, e.CallerURL)
	}
	return urls
}

// Agent returns the agent with the given ID, or nil.
func (d *Deployment) Agent(id string) *Instance {
	for _, a := range d.Agents {
		if a.ID == id {
			return a
		}
	}
	return nil
}

// Stop kills all running processes and closes the relays.
func (d *Deployment) Stop() {
	for _, i := range slices.Concat(d.Entries, d.Agents) {
		if i.Process != nil {
			i.Kill()
		}
		for _, r := range []*Relay{i.ServerRelay, i.AgentRelay} {
			if r != nil {
				r.Close()
			}
		}
	}
	for _, p := range d.Standins {
		p.Kill()
	}
}
