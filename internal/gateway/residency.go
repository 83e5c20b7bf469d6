package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/placement"
	"github.com/magnoliawheel/magnoliawheel/core/residency"
	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/core/routes"
)

const (
	// residencyRetryAfter is the Retry-After time of a request without a server in its
	// allowed regions. A server there may return.
	residencyRetryAfter = time.Second
	// conflictRetryAfter is that of a request whose route and customer allow no region in
	// common. Only a change of the configuration helps.
	conflictRetryAfter = 10 * time.Second
)

// residency returns the regions that may hold a request by the configuration in force. A
// request whose route was removed meanwhile keeps the regions of the configuration under
// which it was accepted.
func (g *Gateway) residency(req *request) residency.Policy {
	t := g.Config.Table()
	if t.Version == req.configVersion {
		return req.residency
	}
	path, _, _ := strings.Cut(req.target, "?")
	route := t.Match(req.host, path)
	if route == nil {
		return req.residency
	}
	return route.ResidencyFor(t.Customer(req.APIKey))
}

// allows reports whether a request may be sent to a server.
func (g *Gateway) allows(req *request, serverID string) bool {
	return g.residency(req).Allows(g.Settings.Regions[g.Servers.Zone(serverID)])
}

// residencyOutcome returns the outcome of a plain request for which there is no server in an
// allowed region, and false if there is one or the service has none at all.
func (g *Gateway) residencyOutcome(req *request) (outcome, bool) {
	allowed := g.residency(req)
	g.mu.Lock()
	outside := g.plainServers.OutsideResidency(placement.Request{Pool: req.service, Residency: allowed})
	g.mu.Unlock()
	if !outside {
		return outcome{}, false
	}
	return outcome{notRun: true, cause: causeOutsideResidency, retryAfter: residencyRetryAfter}, true
}

// refuseConflict refuses a request whose route and customer allow no region in common.
func refuseConflict(allowed residency.Policy) *refusal {
	if allowed.Restricted() && len(allowed.Regions()) == 0 {
		return newRefusal(result.OutsideResidency, "route and customer allow no region in common", conflictRetryAfter)
	}
	return nil
}

// configChanges tells the requests that wait for a placement of each new configuration.
type configChanges struct {
	mu      sync.Mutex
	table   *routes.Table
	changed chan struct{}
}

// publish wakes the waiting requests if the configuration is another one than before.
func (c *configChanges) publish(t *routes.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == t {
		return
	}
	c.table = t
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// next returns a channel that is closed at the next change.
func (c *configChanges) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}
