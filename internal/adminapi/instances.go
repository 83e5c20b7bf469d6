package adminapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawheel/magnoliawheel/core/membership"
)

const (
	// askTimeout bounds asking one instance for its offset.
	askTimeout = time.Second
	// askConcurrency bounds the instances asked at a time.
	askConcurrency = 64
)

// InstanceOffset is the configuration in force at one instance.
type InstanceOffset struct {
	ID   string          `json:"id"`
	Role membership.Role `json:"role"`
	Addr string          `json:"addr"`
	// Offset is that in force; it is not set if Error is.
	Offset uint64 `json:"offset"`
	// Error says why the instance could not be asked.
	Error string `json:"error,omitempty"`
}

// InstancesReply is the body of GET /admin/v1/config/instances.
type InstancesReply struct {
	// Offset is that in force at the entry that answers.
	Offset    uint64           `json:"offset"`
	Instances []InstanceOffset `json:"instances"`
}

func (a *API) getInstances(w http.ResponseWriter, r *http.Request) {
	instances := a.opts.Instances()
	list := make([]InstanceOffset, len(instances))
	slots := make(chan struct{}, askConcurrency)
	var all sync.WaitGroup
	for i := range instances {
		slots <- struct{}{}
		all.Go(func() {
			list[i] = a.ask(r.Context(), &instances[i])
			<-slots
		})
	}
	all.Wait()
	WriteJSON(w, http.StatusOK, InstancesReply{Offset: a.opts.Config.Current().Offset, Instances: list})
}

func (a *API) ask(ctx context.Context, in *membership.Instance) InstanceOffset {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
