// Package explain extracts the log entries about one request.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// LogEntry is one log entry about a request.
type LogEntry struct {
	Time time.Time
	// Source is the path of the log file, followed by any text before the JSON object.
	Source string
	// Logger is the name of the logger that wrote the entry.
	Logger  string
	Message string
	Fields  map[string]any
}

// omittedFields are not printed as fields: they have their own columns or are the same
// in each entry.
var omittedFields = []string{"time", "level", "msg", "logger", "request"}

// ReadFiles returns the entries about a request in several log files, ordered by time.
func ReadFiles(paths []string, id string) ([]LogEntry, error) {
	var all []LogEntry
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "explain")
		}
		entries, err := readEntries(f, path, id)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", path)
		}
		all = append(all, entries...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	return all, nil
}

func readEntries(r io.Reader, source, id string) ([]LogEntry, error) {
	var all []LogEntry
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if !bytes.Contains(sc.Bytes(), []byte(id)) {
			continue
		}
		if entry, ok := parseLine(sc.Bytes(), source, id); ok {
			all = append(all, entry)
		}
	}
	return all, sc.Err()
}

// parseLine decodes a line. It returns false if the line is not about the request.
func parseLine(raw []byte, source, id string) (LogEntry, bool) {
	jsonStart := bytes.IndexByte(raw, '{')
	if jsonStart < 0 {
		return LogEntry{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(raw[jsonStart:], &fields); err != nil || !mentionsRequest(fields, id) {
		return LogEntry{}, false
	}
	entry := LogEntry{Source: source, Fields: fields}
	if prefix := strings.TrimSpace(string(raw[:jsonStart])); prefix != "" {
		entry.Source += " " + prefix
	}
	entry.Time, _ = time.Parse(time.RFC3339Nano, stringOrEmpty(fields["time"]))
	entry.Logger, entry.Message = stringOrEmpty(fields["logger"]), stringOrEmpty(fields["msg"])
	for _, name := range omittedFields {
		delete(fields, name)
	}
	return entry, true
}

// mentionsRequest reports whether an entry is about the request, alone or with others.
func mentionsRequest(fields map[string]any, id string) bool {
	if fields["request"] == id {
		return true
	}
	ids, _ := fields["requests"].([]any)
	return slices.Contains(ids, any(id))
}

func stringOrEmpty(v any) string {
	s, _ := v.(string)
	return s
}

// durationFields are the fields that hold nanoseconds.
var durationFields = []string{"took", "held", "waited", "expected", "retry_after", "config_age"}

// Write prints the entries, one per line.
func Write(w io.Writer, entries []LogEntry) error {
	for _, l := range entries {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		sort.Strings(names)
		var b strings.Builder
		fmt.Fprintf(&b, "%s  %s  %s: %s", l.Time.UTC().Format("15:04:05.000"), l.Source, l.Logger, l.Message)
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%v", name, formatValue(name, l.Fields[name]))
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	return nil
}

func formatValue(name string, v any) any {
	if n, ok := v.(float64); ok && slices.Contains(durationFields, name) {
		return time.Duration(n).Round(time.Microsecond)
	}
	return v
}
