package main

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

// deploymentSize holds the number of objects of each kind in a deployment.
type deploymentSize struct {
	servers, entries, customers, models, pipelines, regions, zones int
}

// poolKinds lists the kind of each pool. Engines occur twice because they are the most
// frequent kind of server.
var poolKinds = []string{"encoder", "retriever", "reranker", "service", "engine", "engine"}

func (s deploymentSize) modelNames() []string {
	names := make([]string, s.models)
	for i := range names {
		names[i] = fmt.Sprintf("model-%d", i)
	}
	return names
}

// poolName returns the pool of server i.
func (s deploymentSize) poolName(i int) string { return fmt.Sprintf("pool-%d", i%len(poolKinds)) }

// zoneAndRegion returns the zone and region of instance i.
func (s deploymentSize) zoneAndRegion(i int) (zone, region string) {
	z := i % s.zones
	return fmt.Sprintf("zone-%d", z), fmt.Sprintf("region-%d", z%s.regions)
}

// schemaTOML returns a schema with the objects of the deployment.
func (s deploymentSize) schemaTOML() string {
	var b strings.Builder
	for r := range s.regions {
		var zones []string
		for z := r; z < s.zones; z += s.regions {
			zones = append(zones, fmt.Sprintf("%q", fmt.Sprintf("zone-%d", z)))
		}
		fmt.Fprintf(&b, "[[region]]\nname = \"region-%d\"\nzones = [%s]\n", r, strings.Join(zones, ", "))
	}
	for i, kind := range poolKinds {
		fmt.Fprintf(&b, "[[pool]]\nname = \"pool-%d\"\nkind = %q\nconcurrency = 16\nqueue = 64\n", i, kind)
		if kind == "engine" {
			fmt.Fprintf(&b, "models = [\"%s\"]\n", strings.Join(s.modelNames(), "\", \""))
		}
	}
	for p := range s.pipelines {
		s.writePipeline(&b, p)
	}
	for c := range s.customers {
		name := fmt.Sprintf("customer-%d", c)
		fmt.Fprintf(&b, "[[customer]]\nname = %q\nkey_sha256 = \"%x\"\nweight = 1\n", name, sha256.Sum256([]byte(name+"-key")))
	}
	return b.String()
}

// writePipeline writes pipeline p, with one stage for each kind of pool, and its call.
func (s deploymentSize) writePipeline(b *strings.Builder, p int) {
	fmt.Fprintf(b, "[[pipeline]]\nname = \"pipeline-%d\"\n", p)
	for stage, kind := range poolKinds[:5] {
		fmt.Fprintf(b, "[[pipeline.stage]]\nname = \"stage-%d\"\npool = \"pool-%d\"\ncall = \"work\"\nidempotent = %t\nanswer = %t\ntypical = \"20ms\"\n",
			stage, stage, kind != "service", kind == "engine")
		if kind == "engine" {
			fmt.Fprintf(b, "model = \"model-%d\"\nmax_tokens = 400\n", p%s.models)
		}
	}
	fmt.Fprintf(b, "[[call]]\nname = \"call-%d\"\npipeline = \"pipeline-%d\"\ndeadline = \"3s\"\n", p, p)
}
