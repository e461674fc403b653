package tablesync

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	// maxPullWait bounds how long a Pull call waits for a record.
	maxPullWait = time.Minute
	// maxPullBytes bounds the size of the records in one reply, which always holds at least one
	// record.
	maxPullBytes = 1 << 20
	// maxPullRecords is how many records a caller may lag behind and still be sent records.
	// Beyond it, restoring a snapshot is cheaper for the caller than replaying records.
	maxPullRecords = 128
)

// Pull returns the records from an offset on, or a snapshot if they are no longer retained or
// too many. If there is no such record yet, it waits for the next one, up to the requested time.
func (s *Syncer) Pull(ctx context.Context, request *nodepb.PullRequest) (*nodepb.PullReply, error) {
	wait := min(time.Duration(max(request.WaitMs, 0))*time.Millisecond, maxPullWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, changed, err := s.pullReply(ctx, request.From)
		if err != nil {
			return nil, twirp.Unavailable.Error(err.Error())
		}
		if reply.Next > request.From || wait == 0 {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return nil, twirp.Canceled.Error(ctx.Err().Error())
		case <-s.stopped:
			return nil, twirp.Unavailable.Error(ErrStopped.Error())
		}
	}
}

// pullReply returns the reply for an offset and a channel that is closed when the version
// increases.
func (s *Syncer) pullReply(ctx context.Context, from int64) (*nodepb.PullReply, chan struct{}, error) {
	var reply *nodepb.PullReply
	var changed chan struct{}
	var replyErr error
	err := s.do(ctx, func(c *core) {
		reply, replyErr = c.pullReply(from)
		changed = c.changed
	})
	if err == nil {
		err = replyErr
	}
	return reply, changed, err
}

// pullReply returns the retained records from an offset on, a snapshot, or neither if the caller
// is up to date.
func (c *core) pullReply(from int64) (*nodepb.PullReply, error) {
	version := c.machine.Version()
	reply := &nodepb.PullReply{Next: version}
	if from >= version {
		return reply, nil
	}
	if len(c.retained) == 0 || c.retained[0].Offset > from || version-from > maxPullRecords {
		data, err := c.encodedSnapshot()
		reply.Snapshot = data
		return reply, err
	}
	size := 0
	for _, record := range c.retained[from-c.retained[0].Offset:] {
		if size > 0 && size+len(record.Data) > maxPullBytes {
			break
		}
		size += len(record.Data)
		reply.Records = append(reply.Records, &nodepb.TableRecord{Offset: record.Offset, Data: record.Data})
		reply.Next = record.Offset + 1
	}
	return reply, nil
}
