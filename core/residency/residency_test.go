package residency

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPolicyCombinesRouteAndCustomer guards against a restriction that is lost when the route
// or the customer has none, or when both have one.
func TestPolicyCombinesRouteAndCustomer(t *testing.T) {
	tests := []struct {
		name            string
		route, customer []string
		allowed, denied []string
		text            string
	}{
		{"neither is restricted", nil, nil, []string{"a", "b", ""}, nil, "any"},
		{"the route is", []string{"b", "a", "b"}, nil, []string{"a", "b"}, []string{"c", ""}, "a,b"},
		{"the customer is", nil, []string{"a"}, []string{"a"}, []string{"b", ""}, "a"},
		{"both are", []string{"a", "b"}, []string{"c", "b"}, []string{"b"}, []string{"a", "c", ""}, "b"},
		{"both are, without a common region", []string{"a"}, []string{"b"}, nil, []string{"a", "b", ""}, "none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := FromConfig(tt.route).And(FromConfig(tt.customer))
			for _, r := range tt.allowed {
				assert.Assert(t, p.Allows(r), "%q", r)
			}
			for _, r := range tt.denied {
				assert.Assert(t, !p.Allows(r), "%q", r)
			}
			assert.Equal(t, p.String(), tt.text)
			assert.Equal(t, p.Restricted(), tt.text != "any")
			assert.Assert(t, p.Equal(FromConfig(tt.customer).And(FromConfig(tt.route))))
		})
	}
}

// TestZeroPolicyPermitsNothing guards against code that does not set a policy and would
// otherwise serve a restricted request anywhere.
func TestZeroPolicyPermitsNothing(t *testing.T) {
	var p Policy
	assert.Assert(t, !p.Allows("a") && !p.Allows("") && p.Restricted())
	assert.Assert(t, !p.And(Unrestricted()).Allows("a"))
	assert.Assert(t, !p.Equal(Unrestricted()))
}
