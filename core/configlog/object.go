package configlog

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"
	"strings"

	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// LimitsObject is the name of the single object that holds the limits.
const LimitsObject = "limits"

// Object is one part of the schema with its own version.
type Object struct {
	// Name is the kind and the name, such as pool/engines, or LimitsObject.
	Name string `json:"name"`
	// Version is the offset of the change that wrote the object.
	Version uint64 `json:"version"`
	// Body is the content; it is empty if Deleted.
	Body json.RawMessage `json:"body,omitempty"`
	// Deleted marks a tombstone.
	Deleted bool `json:"deleted,omitempty"`

	// value is the decoded body: a pointer to a type of package schema.
	value any
}

// FromSchema returns the objects of a schema, sorted by name, without versions.
func FromSchema(s *schema.Schema) ([]Object, error) {
	var list []Object
	var first error
	add := func(name string, value any) {
		body, err := json.Marshal(value)
		if err != nil && first == nil {
			first = fmt.Errorf("%s: %w", name, err)
		}
		list = append(list, Object{Name: name, Body: body})
	}
	for i := range s.Regions {
		add("region/"+s.Regions[i].Name, &s.Regions[i])
	}
	for i := range s.Pools {
		add("pool/"+s.Pools[i].Name, &s.Pools[i])
	}
	for i := range s.Pipelines {
		add("pipeline/"+s.Pipelines[i].Name, &s.Pipelines[i])
	}
	for i := range s.Calls {
		add("call/"+s.Calls[i].Name, &s.Calls[i])
	}
	for i := range s.Customers {
		add("customer/"+s.Customers[i].Name, &s.Customers[i])
	}
	add(LimitsObject, &s.Limits)
	sortObjects(list)
	return list, first
}

// ToSchema returns the schema that objects make up, without validating it.
func ToSchema(objects []Object) (*schema.Schema, error) {
	list := Existing(objects)
	for i := range list {
		value, _, err := decodeBody(list[i].Name, list[i].Body)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", list[i].Name, err)
		}
		list[i].value = value
	}
	return assemble(list), nil
}

// Existing returns the objects without tombstones.
func Existing(objects []Object) []Object {
	list := make([]Object, 0, len(objects))
	for i := range objects {
		if !objects[i].Deleted {
			list = append(list, objects[i])
		}
	}
	return list
}

// Diff returns the edits that lead from the current objects, tombstones
// included, to the wanted ones.
func Diff(current, want []Object) []Edit {
	var edits []Edit
	for i := range want {
		at, ok := search(current, want[i].Name)
		edit := Edit{Object: want[i].Name, Body: want[i].Body}
		if ok {
			if !current[at].Deleted && bytes.Equal(current[at].Body, want[i].Body) {
				continue
			}
			edit.Base = current[at].Version
		}
		edits = append(edits, edit)
	}
	for i := range current {
		if _, ok := search(want, current[i].Name); !ok && !current[i].Deleted {
			edits = append(edits, Edit{Object: current[i].Name, Base: current[i].Version, Delete: true})
		}
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].Object < edits[j].Object })
	return edits
}

// decodeBody reads and checks the body of an object, and returns the body in its
// canonical form.
func decodeBody(name string, body []byte) (any, json.RawMessage, error) {
	kind, rest, _ := strings.Cut(name, "/")
	value, named := newValue(kind)
	if value == nil || (kind == LimitsObject) != (rest == "") || strings.Contains(rest, "/") {
		return nil, nil, fmt.Errorf("%q is not region/, pool/, pipeline/, call/ or customer/ with a name, or limits", name)
	}
	if err := decodeStrict(body, value); err != nil {
		return nil, nil, err
	}
	if got := named(); got != rest {
		return nil, nil, fmt.Errorf("the body is of %q", got)
	}
	if v, ok := value.(interface{ Normalize() }); ok {
		v.Normalize()
	}
	canonical, err := json.Marshal(value)
	return value, canonical, err
}

// newValue returns an empty value of a kind and a function that tells its name.
func newValue(kind string) (any, func() string) {
	switch kind {
	case "region":
		v := &schema.Region{}
		return v, func() string { return v.Name }
	case "pool":
		v := &schema.Pool{}
		return v, func() string { return v.Name }
	case "pipeline":
		v := &schema.Pipeline{}
		return v, func() string { return v.Name }
	case "call":
		v := &schema.Call{}
		return v, func() string { return v.Name }
	case "customer":
		v := &schema.Customer{}
		return v, func() string { return v.Name }
	case LimitsObject:
		v := &schema.Limits{}
		return v, func() string { return "" }
	}
	return nil, nil
}

// assemble builds the whole schema from its objects.
func assemble(objects []Object) *schema.Schema {
	s := &schema.Schema{}
	for i := range objects {
		switch v := objects[i].value.(type) {
		case *schema.Region:
			s.Regions = append(s.Regions, *v)
		case *schema.Pool:
			s.Pools = append(s.Pools, *v)
		case *schema.Pipeline:
			s.Pipelines = append(s.Pipelines, *v)
		case *schema.Call:
			s.Calls = append(s.Calls, *v)
		case *schema.Customer:
			s.Customers = append(s.Customers, *v)
		case *schema.Limits:
			s.Limits = *v
		}
	}
	s.Normalize()
	return s
}

// digestOf hashes the objects with their versions.
func digestOf(objects []Object) uint64 {
	h := fnv.New64a()
	var number [8]byte
	for i := range objects {
		binary.BigEndian.PutUint64(number[:], objects[i].Version)
		h.Write([]byte(objects[i].Name))
		h.Write(number[:])
		h.Write(objects[i].Body)
	}
	return h.Sum64()
}

func search(list []Object, name string) (int, bool) {
	i := sort.Search(len(list), func(i int) bool { return list[i].Name >= name })
	return i, i < len(list) && list[i].Name == name
}

func sortObjects(list []Object) {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
}
