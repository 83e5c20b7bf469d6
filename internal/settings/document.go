package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Document returns the content of docs/SETTINGS.md, generated from the doc tags.
func Document() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nTOML files, one for each process. Unknown keys are errors; `magnoliawheel check-settings` lists all mistakes at once.\n" +
		"Durations are written as `250ms`, `3s`, `10m`. Example files stand under `examples/`. A test keeps this page in step with the code.\n")
	writeSection(&b, "Entry", reflect.TypeOf(Entry{}))
	writeSection(&b, "Agent", reflect.TypeOf(Agent{}))
	return b.String()
}

func writeSection(b *strings.Builder, title string, t reflect.Type) {
	fmt.Fprintf(b, "\n## %s\n\n| key | type | meaning |\n| --- | --- | --- |\n", title)
	for i := range t.NumField() {
		table := t.Field(i)
		for j := range table.Type.NumField() {
			f := table.Type.Field(j)
			fmt.Fprintf(b, "| `%s.%s` | %s | %s |\n", table.Tag.Get("toml"), f.Tag.Get("toml"), typeName(f.Type), f.Tag.Get("doc"))
		}
	}
}

func typeName(t reflect.Type) string {
	if t.Name() == "Duration" {
		return "duration"
	}
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "integer"
	case reflect.Slice:
		return "list of text"
	default:
		return "text"
	}
}
