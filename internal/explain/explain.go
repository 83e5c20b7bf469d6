// Package explain finds what logs say about one request.
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

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Line is one decision about a request.
type Line struct {
	At time.Time
	// Source is the file, and what stands before the object in the line, if anything.
	Source string
	// Part is the prefix of the part that decided.
	Part    string
	Message string
	Fields  map[string]any
}

// knownFields are printed by themselves or are the same in each line.
var knownFields = []string{"time", "level", "msg", "logger", "request"}

// Files returns the lines about a request in several files, by their time.
func Files(paths []string, id string) ([]Line, error) {
	var all []Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "explain")
		}
		lines, err := read(f, path, id)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", path)
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all, nil
}

func read(r io.Reader, source, id string) ([]Line, error) {
	var all []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		if !bytes.Contains(sc.Bytes(), []byte(id)) {
			continue
		}
		if line, ok := parse(sc.Bytes(), source, id); ok {
			all = append(all, line)
		}
	}
	return all, sc.Err()
}

// parse decodes a line; false if it is not about the request.
func parse(raw []byte, source, id string) (Line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(raw[at:], &fields); err != nil || !about(fields, id) {
		return Line{}, false
	}
	line := Line{Source: source, Fields: fields}
	if before := strings.TrimSpace(string(raw[:at])); before != "" {
		line.Source += " " + before
	}
	line.At, _ = time.Parse(time.RFC3339Nano, text(fields["time"]))
	line.Part, line.Message = text(fields["logger"]), text(fields["msg"])
	for _, name := range knownFields {
		delete(fields, name)
	}
	return line, true
}

// about tells whether a line is about the request, alone or with others.
func about(fields map[string]any, id string) bool {
	if fields["request"] == id {
		return true
	}
	ids, _ := fields["requests"].([]any)
	return slices.Contains(ids, any(id))
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

// durations are the fields that hold nanoseconds.
var durations = []string{"took", "held", "waited", "expected", "retry_after", "config_age"}

// Write prints the lines, one each.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		sort.Strings(names)
		var b strings.Builder
		fmt.Fprintf(&b, "%s  %s  %s: %s", l.At.UTC().Format("15:04:05.000"), l.Source, l.Part, l.Message)
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%v", name, value(name, l.Fields[name]))
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	return nil
}

func value(name string, v any) any {
	if n, ok := v.(float64); ok && slices.Contains(durations, name) {
		return time.Duration(n).Round(time.Microsecond)
	}
	return v
}
