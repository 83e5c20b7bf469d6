package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/routing"
)

// pollInterval is the interval at which conditions are polled.
const pollInterval = 20 * time.Millisecond

// ApplySchema applies a schema file through the first entry. It retries until that
// succeeds or ctx ends.
func (d *Deployment) ApplySchema(ctx context.Context, file string) error {
	admin := d.Entries[0].AdminURL
	if err := WaitForStatus(ctx, admin+"/healthz", http.StatusOK); err != nil {
		return err
	}
	var out []byte
	for ctx.Err() == nil {
		var err error
		out, err = d.Mwctl(ctx, "config", "apply", file, "--admin", admin, "--key", AdminKey)
		if err == nil {
			return nil
		}
		time.Sleep(10 * pollInterval)
	}
	return fmt.Errorf("apply schema %s: %w\n%s", file, ctx.Err(), out)
}

// WaitReady waits until all instances report that they are ready, and every entry uses
// every server in the instance list that is not leaving.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, i := range slices.Concat(d.Agents, d.Entries) {
		if err := WaitForStatus(ctx, i.AdminURL+"/readyz", http.StatusOK); err != nil {
			return fmt.Errorf("%s: %w", i.ID, err)
		}
	}
	for _, e := range d.Entries {
		if err := d.waitForServers(ctx, e); err != nil {
			return fmt.Errorf("%s: %w", e.ID, err)
		}
	}
	return nil
}

// serverStatus holds the fields of GET /admin/v1/servers that the harness uses.
type serverStatus struct {
	ID    string        `json:"id"`
	State routing.State `json:"state"`
}

// waitForServers waits until an entry uses the server of each agent that is not leaving.
func (d *Deployment) waitForServers(ctx context.Context, e *Instance) error {
	for {
		var status []serverStatus
		err := d.GetAdmin(ctx, e, "/admin/v1/servers", &status)
		if err == nil && d.allServersInUse(status) {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait for servers: %w (last error: %v, last status: %+v)", ctx.Err(), err, status)
		}
	}
}

// allServersInUse reports whether an entry with the given server status uses the server of
// each agent that is not leaving.
func (d *Deployment) allServersInUse(status []serverStatus) bool {
	used := map[string]bool{}
	for _, s := range status {
		used[s.ID] = s.State == routing.StateUsable || s.State == routing.StateReturning
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range d.instances {
		if row.Role == "agent" && !row.Leaving && !used[row.ID] {
			return false
		}
	}
	return true
}

// GetAdmin reads a resource from the admin API of an instance and decodes it into v.
func (d *Deployment) GetAdmin(ctx context.Context, i *Instance, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.AdminURL+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+AdminKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// WaitForStatus polls a URL until it responds with the given HTTP status.
func WaitForStatus(ctx context.Context, url string, status int) error {
	last := "no response"
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == status {
				return nil
			}
			last = resp.Status
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w (last status: %s)", url, ctx.Err(), last)
		}
	}
}
