// Package membership keeps what a process knows of the instances: the platform's
// lagging list, corrected by what the process sees itself. It has no clock and
// no I/O.
package membership

// Role is the role of an instance.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance is one line of the platform's list.
type Instance struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Pool is the pool of the backend server; empty for entries.
	Pool string `json:"pool,omitempty"`
	// Addr is the address of the process for the project's own processes.
	Addr string `json:"addr"`
	// Admin is the address of the administration listener.
	Admin  string `json:"admin,omitempty"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Leaving is set when the platform is about to stop the instance.
	Leaving bool `json:"leaving,omitempty"`
}
