package adminapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
)

const (
	// queryTimeout limits the query of one instance for its offset.
	queryTimeout = time.Second
	// maxConcurrentQueries is the maximum number of instances queried at a time.
	maxConcurrentQueries = 64
)

// InstanceOffset is the offset of the configuration in force at one instance.
type InstanceOffset struct {
	ID   string          `json:"id"`
	Role membership.Role `json:"role"`
	Addr string          `json:"addr"`
	// Offset is 0 if Error is set.
	Offset uint64 `json:"offset"`
	// Error is the reason why the query failed.
	Error string `json:"error,omitempty"`
}

// InstancesReply is the body of the response to GET /admin/v1/config/instances.
type InstancesReply struct {
	// Offset is that of the configuration in force at the entry that answers.
	Offset    uint64           `json:"offset"`
	Instances []InstanceOffset `json:"instances"`
}

// getInstances queries all listed instances for the offset of their configuration.
func (a *API) getInstances(w http.ResponseWriter, r *http.Request) {
	instances := a.opts.Instances()
	list := make([]InstanceOffset, len(instances))
	slots := make(chan struct{}, maxConcurrentQueries)
	var queries sync.WaitGroup
	for i := range instances {
		slots <- struct{}{}
		queries.Go(func() {
			list[i] = a.queryOffset(r.Context(), &instances[i])
			<-slots
		})
	}
	queries.Wait()
	WriteJSON(w, http.StatusOK, InstancesReply{Offset: a.opts.Config.Current().Offset, Instances: list})
}

func (a *API) queryOffset(ctx context.Context, in *membership.Instance) InstanceOffset {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	o := InstanceOffset{ID: in.ID, Role: in.Role, Addr: in.Addr}
	offset, err := a.opts.Config.OffsetOf(ctx, in.Addr)
	if err != nil {
		o.Error = err.Error()
		return o
	}
	o.Offset = offset
	return o
}
