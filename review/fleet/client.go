//go:build review

package fleet

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"text/template"
	"time"

	"github.com/magnoliawheel/magnoliawheel/platform"
	"github.com/magnoliawheel/magnoliawheel/platform/standin"
)

// Host is the host of all routes.
const Host = "spec.example"

// The paths of the routes: a stream that may be resumed, and a request that may run once only.
const (
	StreamPath = "/draft/1"
	UnsafePath = "/file/1"
)

// Tenant is a tenant of the configuration and its keys.
type Tenant struct {
	Name string
	Keys []string
}

// Config is a version of the configuration.
type Config struct {
	Version int
	Tenants []Tenant
}

//go:embed config.json.tmpl
var configText string

var configTemplate = template.Must(template.New("config").Parse(configText))

// PutConfig writes a configuration as the operator does, and returns the time of the store's
// acknowledgement.
func (f *Fleet) PutConfig(c Config) time.Time {
	var record, compact bytes.Buffer
	if err := configTemplate.Execute(&record, struct {
		Config
		Host string
	}{c, Host}); err != nil {
		fail("configuration: %v", err)
	}
	if err := json.Compact(&compact, record.Bytes()); err != nil {
		fail("configuration: %v", err)
	}
	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, compact.Bytes())
	f.Note("operator writes configuration %d with the tenants %v, acknowledged by the store", c.Version, c.Tenants)
	return time.Now()
}

// Request is a request of a client.
type Request struct {
	ID, Path, Key string
	Timeout       time.Duration
}

// Answer is what the client got. Status is 0 if there was no answer. Complete is set if the answer
// was whole.
type Answer struct {
	Status   int
	Signed   bool
	Body     string
	Complete bool
	SentAt   time.Time
}

// Send sends a request to an entry over a connection of its own, and returns the answer.
func (f *Fleet) Send(e *Entry, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Front+q.Path, strings.NewReader("body of "+q.ID))
	if err != nil {
		fail("%v", err)
	}
	req.Host = Host
	header := standin.ClientHeader{RequestID: q.ID, APIKey: q.Key, Timeout: q.Timeout}
	if q.Path == StreamPath {
		req.Header.Set("X-Model", "m")
		header.TokenCount, header.PromptParts = "200,40", "5c1e07a2:150,"+q.ID+":50"
	}
	header.SetOn(req.Header)
	a := Answer{SentAt: time.Now()}
	f.Note("client sends %s to %s (%s, key %s)", q.ID, e.Name, q.Path, q.Key)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		f.Note("client got no answer to %s: %v", q.ID, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.Status, a.Signed, a.Body, a.Complete = resp.StatusCode, standin.Signature(resp.Header) != "", string(data), err == nil
	f.Note("client got %d for %s, signed %t, complete %t: %q", a.Status, q.ID, a.Signed, a.Complete, a.Body)
	return a
}
