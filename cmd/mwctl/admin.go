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
	"github.com/magnoliawheel/magnoliawheel/internal/cli"
)

// Exit codes of commands that talk to the admin API, listed in docs/OPERATIONS.md.
const (
	exitFailed      = cli.ExitFailed
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitUnknown     = 6
	exitNotReached  = 7
)

// adminTimeout bounds one call of the admin API.
const adminTimeout = 30 * time.Second

// adminFlags are the flags of commands that talk to an entry.
type adminFlags struct {
	Admin   string `long:"admin" env:"MWCTL_ADMIN" default:"http://127.0.0.1:9000" description:"Base URL of an entry's admin listener"`
	Key     string `long:"key" env:"MWCTL_KEY" description:"Administration key"`
	KeyFile string `long:"key-file" env:"MWCTL_KEY_FILE" description:"File with the administration key"`
	JSON    bool   `long:"json" description:"Print JSON"`
}

// call sends a request to the admin API and decodes the answer into out. The
// error is an exitError with the code that belongs to the result code.
func (f *adminFlags) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := f.request(ctx, method, path, in)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		code := exitUnavailable
		if method != http.MethodGet {
			code = exitUnknown
		}
		return exitError{errors.Wrap(err, "admin API"), code}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		return apiError(res)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(res.Body).Decode(out), "read answer")
}

func (f *adminFlags) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
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
	key, err := f.key()
	if err != nil {
		return nil, err
	}
	adminapi.SetAuthorization(req, key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (f *adminFlags) key() (string, error) {
	if f.Key != "" || f.KeyFile == "" {
		return f.Key, nil
	}
	b, err := os.ReadFile(f.KeyFile)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "read administration key")
}

// apiError returns the error of an answer that is not a success.
func apiError(res *http.Response) error {
	body := &adminapi.ErrorBody{}
	if err := json.NewDecoder(res.Body).Decode(body); err != nil || body.Code == 0 {
		return exitError{errors.Newf("admin API: status %s", res.Status), exitFailed}
	}
	return exitError{body, exitCodeOf(body.Code)}
}

func exitCodeOf(c result.Code) int {
	switch c {
	case result.ConfigInvalid:
		return exitInvalid
	case result.ConfigConflict:
		return exitConflict
	case result.ConfigUnavailable, result.PlatformDown:
		return exitUnavailable
	case result.ConfigUnknown:
		return exitUnknown
	case result.ConfigNotReached:
		return exitNotReached
	}
	return exitFailed
}

// printJSON prints v indented.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
