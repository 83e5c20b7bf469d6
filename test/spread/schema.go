package main

import (
	"fmt"
	"strings"

	"github.com/magnoliawheel/magnoliawheel/core/configlog"
	"github.com/magnoliawheel/magnoliawheel/core/schema"
)

// Object counts of the target deployment.
const (
	customerCount = 640
	modelCount    = 35
	pipelineCount = 11
	regionCount   = 5
	zoneCount     = 16
)

// targetSchema returns a schema with the object counts of the target deployment.
func targetSchema() *schema.Schema {
	s := &schema.Schema{}
	for i := range regionCount {
		s.Regions = append(s.Regions, schema.Region{Name: fmt.Sprintf("region-%d", i)})
	}
	for i := range zoneCount {
		r := &s.Regions[i%regionCount]
		r.Zones = append(r.Zones, fmt.Sprintf("%s-%d", r.Name, i))
	}
	engines := schema.Pool{Name: "engines", Kind: schema.KindEngine, ConcurrencyLimit: 16, QueueLimit: 64}
	for i := range modelCount {
		engines.Models = append(engines.Models, fmt.Sprintf("model-%d", i))
	}
	s.Pools = []schema.Pool{engines, {Name: "encoders", Kind: schema.KindEncoder, ConcurrencyLimit: 8, QueueLimit: 64}}
	for i := range pipelineCount {
		name := fmt.Sprintf("pipeline-%d", i)
		s.Pipelines = append(s.Pipelines, schema.Pipeline{Name: name, Stages: []schema.Stage{
			{Name: "encode", Pool: "encoders", ServerCall: "encode", Idempotent: true, TypicalDuration: 20e6},
			{Name: "generate", Pool: "engines", ServerCall: "generate", Idempotent: true, TypicalDuration: 400e6, Model: engines.Models[i], MaxTokens: 64, InAnswer: true},
		}})
		s.Calls = append(s.Calls, schema.Call{Name: "call-" + name, Pipeline: name, Deadline: 3e9})
	}
	for i := range customerCount {
		s.Customers = append(s.Customers, schema.Customer{Name: fmt.Sprintf("customer-%d", i), KeySHA256: strings.Repeat("0", 64), Weight: 1})
	}
	s.Normalize()
	return s
}

// firstChange returns a change that applies the target schema to an empty configuration.
func firstChange() (*configlog.Change, error) {
	objects, err := configlog.FromSchema(targetSchema())
	return &configlog.Change{ID: "first", Author: "spread", Edits: configlog.Diff(nil, objects)}, err
}

// weightChange returns a change that sets the weight of one customer. The number determines
// the customer and the weight.
func weightChange(s *configlog.Snapshot, number int) *configlog.Change {
	object, _ := s.Object(fmt.Sprintf("customer/customer-%d", number%customerCount))
	unchanged, _, _ := strings.Cut(string(object.Body), `"weight":`)
	body := fmt.Sprintf(`%s"weight":%d}`, unchanged, 2+number%900)
	return &configlog.Change{ID: fmt.Sprintf("c%d", number), Author: "spread", Edits: []configlog.Edit{
		{Object: object.Name, BaseVersion: object.Version, Body: []byte(body)},
	}}
}
