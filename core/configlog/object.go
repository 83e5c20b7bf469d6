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

// LimitsObject is the name of the only object that holds the limits.
const LimitsObject = "limits"

// Object is a part of the schema that is versioned on its own.
type Object struct {
	// Name is the kind and name, such as pool/engines, or LimitsObject.
	Name string `json:"name"`
	// Version is the offset of the change that wrote the object.
	Version uint64 `json:"version"`
	// Body is the canonical JSON of the object; it is empty for a tombstone.
	Body json.RawMessage `json:"body,omitempty"`
	// Deleted marks a tombstone.
	Deleted bool `json:"deleted,omitempty"`

	// value is the decoded body: a pointer to a type of package schema.
	value any
}

// FromSchema returns the objects of a schema, sorted by name. Their versions are 0.
func FromSchema(s *schema.Schema) ([]Object, error) {
	var list []Object
	var firstErr error
	add := func(name string, value any) {
		body, err := json.Marshal(value)
		if err != nil && firstErr == nil {
			firstErr = fmt.Errorf("%s: %w", name, err)
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
	return list, firstErr
}

// ToSchema assembles a schema from objects without validating it.
func ToSchema(objects []Object) (*schema.Schema, error) {
	list := LiveObjects(objects)
	for i := range list {
		value, _, err := decodeBody(list[i].Name, list[i].Body)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", list[i].Name, err)
		}
		list[i].value = value
	}
	return assemble(list), nil
}

// LiveObjects returns the objects that are not tombstones.
func LiveObjects(objects []Object) []Object {
	list := make([]Object, 0, len(objects))
	for i := range objects {
		if !objects[i].Deleted {
			list = append(list, objects[i])
		}
	}
	return list
}

// Diff returns the edits that turn the current objects, which include tombstones,
// into the wanted ones.
func Diff(current, wanted []Object) []Edit {
	var edits []Edit
	for i := range wanted {
		index, ok := search(current, wanted[i].Name)
		edit := Edit{Object: wanted[i].Name, Body: wanted[i].Body}
		if ok {
			if !current[index].Deleted && bytes.Equal(current[index].Body, wanted[i].Body) {
				continue
			}
			edit.BaseVersion = current[index].Version
		}
		edits = append(edits, edit)
	}
	for i := range current {
		if _, ok := search(wanted, current[i].Name); !ok && !current[i].Deleted {
			edits = append(edits, Edit{Object: current[i].Name, BaseVersion: current[i].Version, Delete: true})
		}
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].Object < edits[j].Object })
	return edits
}

// decodeBody decodes and checks the body of an object. It returns the value and the
// body in canonical form.
func decodeBody(name string, body []byte) (any, json.RawMessage, error) {
	kind, objectName, _ := strings.Cut(name, "/")
	value, bodyName := newValue(kind)
	if value == nil || (kind == LimitsObject) != (objectName == "") || strings.Contains(objectName, "/") {
		return nil, nil, fmt.Errorf("object name %q must be limits, or region/, pool/, pipeline/, call/ or customer/ followed by a name", name)
	}
	if err := decodeStrict(body, value); err != nil {
		return nil, nil, err
	}
	if got := bodyName(); got != objectName {
		return nil, nil, fmt.Errorf("the body has the name %q", got)
	}
	if v, ok := value.(interface{ Normalize() }); ok {
		v.Normalize()
	}
	canonical, err := json.Marshal(value)
	return value, canonical, err
}

// newValue returns an empty value of the given kind and a function that returns its
// name field. Both are nil if the kind is unknown.
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

// assemble builds a schema from decoded objects.
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

// computeDigest hashes the names, versions and bodies of the objects.
func computeDigest(objects []Object) uint64 {
	h := fnv.New64a()
	var versionBytes [8]byte
	for i := range objects {
		binary.BigEndian.PutUint64(versionBytes[:], objects[i].Version)
		h.Write([]byte(objects[i].Name))
		h.Write(versionBytes[:])
		h.Write(objects[i].Body)
	}
	return h.Sum64()
}

// search returns the index of the object with the given name in a sorted list, or
// the index at which to insert it.
func search(list []Object, name string) (int, bool) {
	i := sort.Search(len(list), func(i int) bool { return list[i].Name >= name })
	return i, i < len(list) && list[i].Name == name
}

func sortObjects(list []Object) {
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
}
