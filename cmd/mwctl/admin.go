package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/core/result"
	"github.com/magnoliawheel/magnoliawheel/internal/adminapi"
	"github.com/magnoliawheel/magnoliawheel/internal/bounded"
	"github.com/magnoliawheel/magnoliawheel/internal/cli"
	"github.com/magnoliawheel/magnoliawheel/internal/httpcheck"
)

// Exit codes of commands that use the admin API. docs/OPERATIONS.md lists them.
const (
	exitFailed         = cli.ExitFailed
	exitInvalid        = 3
	exitConflict       = 4
	exitUnavailable    = 5
	exitOutcomeUnknown = 6
	exitNotReached     = 7
)

// adminTimeout is the timeout of a request to the admin API.
const adminTimeout = 30 * time.Second

// maxAdminBytes bounds the body of a response of the admin API.
const maxAdminBytes = 64 << 20

// adminClient is the HTTP client of the admin API.
var adminClient = &http.Client{Transport: httpcheck.Transport(http.DefaultTransport.(*http.Transport).Clone())}

// adminFlags are the flags of commands that use the admin API of an entry.
type adminFlags struct {
	Admin   string `long:"admin" env:"MWCTL_ADMIN" default:"http://127.0.0.1:9000" description:"Base URL of an entry's admin listener"`
	Key     string `long:"key" env:"MWCTL_KEY" description:"Administration key"`
	KeyFile string `long:"key-file" env:"MWCTL_KEY_FILE" description:"File with the administration key"`
	JSON    bool   `long:"json" description:"Print JSON"`
}

// call sends a request to the admin API and decodes the response into out. For an
// error response, the error is an exitError whose code depends on the result code.
// A change without a whole answer has the exit code for an unknown outcome, since the
// change may have been made.
func (f *adminFlags) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := f.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	res, err := adminClient.Do(req)
	if err != nil {
		return noAnswer(method, errors.Wrap(err, "admin API"))
	}
	defer func() { _ = res.Body.Close() }()
	body, err := bounded.ReadAll(res.Body, maxAdminBytes)
	if err != nil {
		return noAnswer(method, errors.Wrap(err, "read admin API response"))
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return apiError(res.Status, body)
	}
	if out == nil {
		return nil
	}
	if err = json.Unmarshal(body, out); err != nil {
		return noAnswer(method, errors.Wrap(err, "decode admin API response"))
	}
	return nil
}

// noAnswer returns the error of a request without a whole answer.
func noAnswer(method string, err error) error {
	if method == http.MethodGet {
		return exitError{err, exitUnavailable}
	}
	return exitError{err, exitOutcomeUnknown}
}

func (f *adminFlags) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(f.Admin, "/")+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "admin API")
	}
	key, err := f.readKey()
	if err != nil {
		return nil, err
	}
	adminapi.SetAuthorization(req, key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// readKey returns the administration key from the flag, or else from the file.
func (f *adminFlags) readKey() (string, error) {
	if f.Key != "" || f.KeyFile == "" {
		return f.Key, nil
	}
	b, err := os.ReadFile(f.KeyFile)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "read administration key")
}

// apiError converts an error response into an exitError.
func apiError(status string, body []byte) error {
	e := &adminapi.ErrorBody{}
	if err := json.Unmarshal(body, e); err != nil || e.Code == 0 {
		return exitError{errors.Newf("admin API: status %s", status), exitFailed}
	}
	return exitError{e, exitCodeFor(e.Code)}
}

// exitCodeFor returns the exit code for a result code.
func exitCodeFor(c result.Code) int {
	switch c {
	case result.ConfigInvalid:
		return exitInvalid
	case result.ConfigConflict:
		return exitConflict
	case result.ConfigUnavailable, result.PlatformDown:
		return exitUnavailable
	case result.ConfigUnknown:
		return exitOutcomeUnknown
	case result.ConfigNotReached:
		return exitNotReached
	}
	return exitFailed
}

// printJSON prints v as indented JSON.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
