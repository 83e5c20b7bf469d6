package agent

import (
	"github.com/cockroachdb/errors"

	"github.com/magnoliawheel/magnoliawheel/internal/rpc/wire"
)

// Fetch streams a kept result to another agent.
func (s *rpcServer) Fetch(req *wire.FetchRequest, stream wire.DRPCAgent_FetchStream) error {
	return errors.New("not implemented")
}
