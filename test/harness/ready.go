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

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// Apply applies a schema file through the first entry, again while it is not ready.
func (d *Deployment) Apply(ctx context.Context, file string) error {
	admin := d.Entries[0].Admin
	if err := WaitStatus(ctx, admin+"/healthz", http.StatusOK); err != nil {
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
	return fmt.Errorf("apply %s: %w\n%s", file, ctx.Err(), out)
}

// WaitReady returns once all entries and agents report ready, and all entries use
// all servers that the list shows.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, i := range slices.Concat(d.Agents, d.Entries) {
		if err := WaitStatus(ctx, i.Admin+"/readyz", http.StatusOK); err != nil {
			return fmt.Errorf("%s: %w", i.ID, err)
		}
	}
	for _, e := range d.Entries {
		if err := d.waitServers(ctx, e); err != nil {
			return fmt.Errorf("%s: %w", e.ID, err)
		}
	}
	return nil
}

// serverStatus is a part of a row of GET /admin/v1/servers.
type serverStatus struct {
	ID    string        `json:"id"`
	State routing.State `json:"state"`
}

// waitServers returns once the entry uses the server of each agent.
func (d *Deployment) waitServers(ctx context.Context, e *Instance) error {
	for {
		var status []serverStatus
		err := d.GetAdmin(ctx, e, "/admin/v1/servers", &status)
		if err == nil && d.allUsed(status) {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait for servers: %w (last: %v, %+v)", ctx.Err(), err, status)
		}
	}
}

func (d *Deployment) allUsed(status []serverStatus) bool {
	used := map[string]bool{}
	for _, s := range status {
		used[s.ID] = s.State == routing.StateUsable || s.State == routing.StateReturning
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range d.rows {
		if row.Role == "agent" && !row.Leaving && !used[row.ID] {
			return false
		}
	}
	return true
}

// GetAdmin reads a resource of the admin API.
func (d *Deployment) GetAdmin(ctx context.Context, i *Instance, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.Admin+path, nil)
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

// WaitStatus polls a URL until it answers with the status.
func WaitStatus(ctx context.Context, url string, status int) error {
	last := "no answer"
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
			return fmt.Errorf("wait for %s: %w (last: %s)", url, ctx.Err(), last)
		}
	}
}
