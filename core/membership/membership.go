// Package membership maintains a process's view of the instances. It combines the
// platform's instance list, which may be outdated, with what the process observes
// itself. The package reads no clock and does no I/O.
package membership

// Role is the role of an instance.
type Role string

// The roles of the project's own processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance is one element of the platform's instance list.
type Instance struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Pool is the pool of the backend server; empty for entries.
	Pool string `json:"pool,omitempty"`
	// Addr is the address at which the project's own processes reach the instance.
	Addr string `json:"addr"`
	// AdminAddr is the address of the administration API.
	AdminAddr string `json:"admin,omitempty"`
	Zone      string `json:"zone"`
	Region    string `json:"region"`
	// Leaving is set if the platform or the instance itself reported that the instance
	// is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}
