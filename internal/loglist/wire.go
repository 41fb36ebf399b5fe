// Package loglist is the client of the platform's append-only log and of its
// list of instances, which lags behind their actual state. Both are served over
// HTTP with JSON bodies.
package loglist

import "time"

// Paths of the platform's interface.
const (
	// PathRecords takes POST AppendRequest and GET ?from=&limit=&wait_ms=.
	PathRecords = "/v1/records"
	// PathInstances answers GET with an InstanceList.
	PathInstances = "/v1/instances"
)

// StatusTrimmed (410) answers a read below the first retained offset; the body
// is a ReadResponse without records.
const StatusTrimmed = 410

// AppendRequest appends one record. The writer chooses the ID, so that it can
// find the record in the log after a lost response. The log may hold the same
// ID twice if an append was retried.
type AppendRequest struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// AppendResponse holds the record's offset in the log.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// Filter narrows the list; empty fields match everything.
type Filter struct {
	Role             Role
	AvailabilityZone string
}

// Query parameters of a filtered list. A platform that doesn't support them
// returns the whole list, which the client then filters itself.
const (
	ParamRole             = "role"
	ParamAvailabilityZone = "availability_zone"
)

// Matches reports whether an instance matches the filter.
func (f Filter) Matches(i Instance) bool {
	if f.Role != "" && i.Role != f.Role {
		return false
	}
	return f.AvailabilityZone == "" || i.AvailabilityZone == f.AvailabilityZone
}

// Record is one entry of the log.
type Record struct {
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	Data   []byte `json:"data"`
}

// ReadResponse is a page of the log.
type ReadResponse struct {
	Records []Record `json:"records"`
	// First is the lowest offset that retention has kept; offsets begin at 1.
	First uint64 `json:"first"`
	// End is the offset that the next append will get.
	End uint64 `json:"end"`
}

// Role is the purpose of an instance.
type Role string

// Instance roles.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
	RoleRunner Role = "runner"
)

// InstanceState is the state of an instance as the platform reports it, which
// lags behind the actual one.
type InstanceState string

// Instance states.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list.
type Instance struct {
	ID               string        `json:"id"`
	Role             Role          `json:"role"`
	Address          string        `json:"address"`
	Region           string        `json:"region"`
	AvailabilityZone string        `json:"availability_zone"`
	Rack             string        `json:"rack,omitempty"`
	State            InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances, which lags behind their
// actual state.
type InstanceList struct {
	Instances []Instance `json:"instances"`
	AsOf      time.Time  `json:"as_of"`
}
