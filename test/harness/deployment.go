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
	// AdminKey is the administration key of every deployment, with the write role.
	AdminKey = "admin-key-for-tests"

	peerSecret = "a secret for tests on loopback"
)

// Zone is an availability zone with its region.
type Zone struct{ Name, Region string }

// Config describes a deployment.
type Config struct {
	Name     string
	Binaries Binaries
	// Dir takes settings, logs and records.
	Dir string
	// SchemaFile is applied once the processes run.
	SchemaFile string
	Zones      []Zone
	Entries    int
	Servers    []Server
	// Log are the properties of the platform's log.
	Log spec.StandIn
	// EntrySettings and AgentSettings are added to the settings files.
	EntrySettings, AgentSettings string
	// EntrySettingsOf returns more settings for the entry of an index; it may be nil.
	EntrySettingsOf func(i int) string
}

// Server describes a backend server and the agent beside it.
type Server struct {
	// Name is the agent's instance id.
	Name string
	Pool string
	// Zone indexes the deployment's zones.
	Zone int
	// Spec describes the stand-in; its name is Name.
	Spec spec.StandIn
	// Own runs the stand-in in a process of its own, which can be killed alone.
	Own bool
	// RelayServer and RelayAgent put relays between the agent and its server, and
	// between the others and the agent.
	RelayServer, RelayAgent bool
}

// Deployment is a set of running processes.
type Deployment struct {
	conf    Config
	Entries []*Instance
	Agents  []*Instance
	// Standins are the processes of the stand-ins; the first has the platform.
	Standins []*Process
	// Addrs are the addresses of the stand-ins by name.
	Addrs map[string]string

	mu   sync.Mutex
	rows []instancelist.Instance
}

// Instance is an entry or an agent.
type Instance struct {
	*Process
	ID string
	// Callers is the base URL for callers; only for entries.
	Callers string
	// Admin is the base URL of the admin listener.
	Admin string
	// Peers is the address for other processes.
	Peers string
	// Server is set for agents.
	Server Server
	// ServerRelay and AgentRelay are set if the server's description asks for them.
	ServerRelay, AgentRelay *Relay

	args []string
}

// Start starts all processes, applies the schema and waits until all are ready.
func Start(ctx context.Context, conf Config) (*Deployment, error) {
	d := &Deployment{conf: conf, Addrs: map[string]string{}}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, fmt.Errorf("deployment %s in %s: %w", conf.Name, conf.Dir, err)
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := os.MkdirAll(d.conf.Dir, 0o700); err != nil {
		return err
	}
	if err := d.writeSecrets(); err != nil {
		return err
	}
	if err := d.startStandins(); err != nil {
		return err
	}
	for _, s := range d.conf.Servers {
		if err := d.addAgent(s); err != nil {
			return err
		}
	}
	for i := range d.conf.Entries {
		if err := d.addEntry(i); err != nil {
			return err
		}
	}
	if err := d.publish(); err != nil {
		return err
	}
	for _, i := range slices.Concat(d.Agents, d.Entries) {
		if err := d.Restart(i); err != nil {
			return err
		}
	}
	if err := d.Apply(ctx, d.conf.SchemaFile); err != nil {
		return err
	}
	return d.WaitReady(ctx)
}

func (d *Deployment) writeSecrets() error {
	if err := d.write("peer.secret", peerSecret+"\n"); err != nil {
		return err
	}
	return d.write("admin.keys", "write harness "+AdminKey+"\n")
}

func (d *Deployment) write(name, text string) error {
	return os.WriteFile(filepath.Join(d.conf.Dir, name), []byte(text), 0o600)
}

func (d *Deployment) addAgent(s Server) error {
	zone := d.conf.Zones[s.Zone%len(d.conf.Zones)]
	a := &Instance{ID: s.Name, Server: s, Peers: FreeAddr()}
	admin, server := FreeAddr(), d.Addrs[s.Name]
	a.Admin = "http://" + admin
	shown := a.Peers
	var err error
	if s.RelayAgent {
		if a.AgentRelay, err = StartRelay(a.Peers); err != nil {
			return err
		}
		shown = a.AgentRelay.Addr()
	}
	if s.RelayServer {
		if a.ServerRelay, err = StartRelay(server); err != nil {
			return err
		}
		server = a.ServerRelay.Addr()
	}
	text := d.common(s.Name, zone) + fmt.Sprintf(`
[listen]
peers = %q
admin = %q

[server]
pool = %q
url = "http://%s"
orders_from = %s
%s`, a.Peers, admin, s.Pool, server, d.orderers(), d.conf.AgentSettings)
	d.Agents = append(d.Agents, a)
	d.rows = append(d.rows, instancelist.Instance{
		ID: a.ID, Role: "agent", Pool: s.Pool, Addr: shown, AdminAddr: admin, Zone: zone.Name, Region: zone.Region,
	})
	return d.prepare(a, "agent", text)
}

func (d *Deployment) orderers() string {
	var ids []string
	for i := range d.conf.Entries {
		ids = append(ids, fmt.Sprintf("%q", entryID(i)))
	}
	return "[" + strings.Join(ids, ", ") + "]"
}

func entryID(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func (d *Deployment) addEntry(i int) error {
	zone := d.conf.Zones[i%len(d.conf.Zones)]
	e := &Instance{ID: entryID(i), Peers: FreeAddr()}
	callers, admin := FreeAddr(), FreeAddr()
	e.Callers, e.Admin = "http://"+callers, "http://"+admin
	text := d.common(e.ID, zone) + fmt.Sprintf(`
[listen]
callers = %q
peers = %q
admin = %q
%s`, callers, e.Peers, admin, d.conf.EntrySettings)
	if d.conf.EntrySettingsOf != nil {
		text += d.conf.EntrySettingsOf(i)
	}
	d.Entries = append(d.Entries, e)
	d.rows = append(d.rows, instancelist.Instance{
		ID: e.ID, Role: "entry", Addr: e.Peers, AdminAddr: admin, Zone: zone.Name, Region: zone.Region,
	})
	return d.prepare(e, "entry", text)
}

func (d *Deployment) common(id string, zone Zone) string {
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
`, id, zone.Name, zone.Region, d.Addrs[spec.KindPlatformLog], d.Addrs[spec.KindInstanceList])
}

func (d *Deployment) prepare(i *Instance, role, settings string) error {
	name := i.ID + ".toml"
	i.args = []string{role, "-s", filepath.Join(d.conf.Dir, name)}
	return d.write(name, settings)
}

// Restart starts the process of an instance, again after it ended.
func (d *Deployment) Restart(i *Instance) error {
	p, err := StartProcess(d.conf.Dir, i.ID, nil, d.conf.Binaries.Magnoliawheel, i.args...)
	if err != nil {
		return err
	}
	i.Process = p
	return nil
}

// SetLeaving marks an instance in the platform's list.
func (d *Deployment) SetLeaving(id string, leaving bool) error {
	d.mu.Lock()
	for i := range d.rows {
		if d.rows[i].ID == id {
			d.rows[i].Leaving = leaving
		}
	}
	d.mu.Unlock()
	return d.publish()
}

func (d *Deployment) publish() error {
	d.mu.Lock()
	rows := slices.Clone(d.rows)
	d.mu.Unlock()
	return d.Control(spec.KindInstanceList, map[string]any{"instances": rows})
}

// Control sets fault switches of a stand-in by its name.
func (d *Deployment) Control(name string, switches map[string]any) error {
	body, err := json.Marshal(switches)
	if err != nil {
		return err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+d.Addrs[name]+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control %s: %s", name, resp.Status)
	}
	return nil
}

// CallerURLs returns the base URLs of all entries.
func (d *Deployment) CallerURLs() []string {
	var urls []string
	for _, e := range d.Entries {
		urls = append(urls, e.Callers)
	}
	return urls
}

// Agent returns the agent of that id, or nil.
func (d *Deployment) Agent(id string) *Instance {
	for _, a := range d.Agents {
		if a.ID == id {
			return a
		}
	}
	return nil
}

// Stop kills every process that still runs and closes the relays.
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
