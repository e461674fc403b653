package tablesync

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"primrosespoke.dev/daemon/peer/node/nodepb"
)

const (
	// maxPullWait bounds how long an asked process waits for a record.
	maxPullWait = time.Minute
	// maxPullBytes bounds the records of one answer, apart from the first one.
	maxPullBytes = 1 << 20
	// maxPullRecords is how far behind the asker may be to be given records; beyond
	// it, a snapshot is cheaper to take than to replay.
	maxPullRecords = 128
)

// Pull passes on records from an offset, waiting for the next one if there is none
// yet, or a snapshot if the records are no longer kept.
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

func (s *Syncer) pullReply(ctx context.Context, from int64) (*nodepb.PullReply, chan struct{}, error) {
	var reply *nodepb.PullReply
	var changed chan struct{}
	var failed error
	err := s.do(ctx, func(c *core) {
		reply, failed = c.pullReply(from)
		changed = c.changed
	})
	if err == nil {
		err = failed
	}
	return reply, changed, err
}

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
