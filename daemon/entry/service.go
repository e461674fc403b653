package entry

import (
	"context"

	"github.com/twitchtv/twirp"

	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// nodeService implements the RPC service for the other processes of the system.
type nodeService struct {
	entry *Entry
}

// SetDrain implements nodepb.Entry.
func (s *nodeService) SetDrain(_ context.Context, r *nodepb.DrainRequest) (*nodepb.DrainReply, error) {
	switch r.Action {
	case nodepb.DrainRequest_START:
		s.entry.Drain()
	case nodepb.DrainRequest_RECALL:
		s.entry.Recall()
	case nodepb.DrainRequest_FORCE:
		s.entry.Drain()
		s.entry.cancelBase()
	default:
		return nil, twirp.NewError(twirp.InvalidArgument, "no action given")
	}
	return s.entry.drainState(), nil
}

func (e *Entry) drainState() *nodepb.DrainReply {
	state := "serving"
	if e.draining.Load() {
		state = "draining"
	}
	return &nodepb.DrainReply{State: state, Running: uint32(e.metrics.inProgress.Load())}
}
