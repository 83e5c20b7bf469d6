package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// locate adds to each mistake the line of its key, or that of its table where
// the key is absent.
func locate(text []byte, list schema.ValidationErrors) {
	lines := keyLines(text)
	for i := range list {
		if list[i].Line != 0 {
			continue
		}
		place := list[i].Path
		if line, ok := lines[place]; ok {
			list[i].Line = line
			continue
		}
		table, _, _ := strings.Cut(place, ".")
		list[i].Line = lines[table]
	}
}

// keyLines maps each table and key of a TOML text to its line, from 1.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		name, line := keyOf(&p, e)
		if e.Kind == unstable.Table {
			table = name
			lines[table] = line
			continue
		}
		lines[strings.TrimPrefix(table+"."+name, ".")] = line
	}
	return lines
}

func keyOf(p *unstable.Parser, e *unstable.Node) (name string, line int) {
	var parts []string
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
		line = p.Shape(it.Node().Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}
