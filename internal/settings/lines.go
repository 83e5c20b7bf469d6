package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// addLineNumbers sets the line of each error that has none: the line of its key, or
// that of the table if the key is missing.
func addLineNumbers(text []byte, errs schema.ValidationErrors) {
	lines := keyLines(text)
	for i := range errs {
		if errs[i].Line != 0 {
			continue
		}
		path := errs[i].Path
		if line, ok := lines[path]; ok {
			errs[i].Line = line
			continue
		}
		table, _, _ := strings.Cut(path, ".")
		errs[i].Line = lines[table]
	}
}

// keyLines maps the path of each table and key of a TOML document to its line number,
// starting at 1.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		name, line := keyAndLine(&p, e)
		if e.Kind == unstable.Table {
			table = name
			lines[table] = line
			continue
		}
		lines[strings.TrimPrefix(table+"."+name, ".")] = line
	}
	return lines
}

// keyAndLine returns the dotted key of an expression and its line number.
func keyAndLine(p *unstable.Parser, e *unstable.Node) (name string, line int) {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
		line = p.Shape(it.Node().Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}
