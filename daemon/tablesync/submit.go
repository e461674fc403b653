package tablesync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/logservice"
)

// appendTimeout bounds one append.
const appendTimeout = 3 * time.Second

var (
	// ErrNotSubmitted says that the edit is not in the log and never will be.
	ErrNotSubmitted = errors.New("edit not submitted: the log service is unavailable")
	// ErrUndecided says that the edit may be in the log and its verdict was not read
	// in time. Submitting it again with the same ID is safe and gives the verdict.
	ErrUndecided = errors.New("edit submitted, verdict not known yet: submit it again with the same ID")
	// ErrInvalidEdit says that the edit's shape is wrong; it was not submitted.
	ErrInvalidEdit = errors.New("not a valid edit")
)

// Submit appends an edit and returns its verdict once it was read back from the
// log. A lost answer is resolved through the edit ID: the record is appended
// again, and of two records with one ID only the first counts.
func (s *Syncer) Submit(ctx context.Context, edit table.Edit) (table.Verdict, error) {
	if edit.AtMS == 0 {
		edit.AtMS = time.Now().UnixMilli()
	}
	data, err := encode(edit)
	if err != nil {
		return table.Verdict{}, err
	}
	var verdict chan table.Verdict
	if err := s.do(ctx, func(c *core) { verdict = c.addWaiter(edit.ID) }); err != nil {
		return table.Verdict{}, errors.Wrap(ErrNotSubmitted, err.Error())
	}
	defer func() { _ = s.do(context.WithoutCancel(ctx), func(c *core) { c.removeWaiter(edit.ID, verdict) }) }()
	return s.submit(ctx, data, verdict)
}

// encode returns the edit's record, if every reader will be able to read it.
func encode(edit table.Edit) ([]byte, error) {
	data, err := table.EncodeEdit(edit)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidEdit, err.Error())
	}
	if _, err := table.DecodeEdit(data); err != nil {
		return nil, errors.Wrap(ErrInvalidEdit, err.Error())
	}
	return data, nil
}

// submit appends and reads until the verdict is there or ctx ends.
func (s *Syncer) submit(ctx context.Context, data []byte, verdict chan table.Verdict) (table.Verdict, error) {
	retry := s.backoff()
	maySit := false
	appended := false
	for {
		select {
		case v := <-verdict:
			return v, nil
		default:
		}
		if !appended {
			err := s.append(ctx, data)
			appended = err == nil
			maySit = maySit || !errors.Is(err, logservice.ErrUnavailable)
		}
		if maySit {
			_ = s.catchUp(ctx)
		}
		if v, ok := receive(verdict); ok {
			return v, nil
		}
		if !retry.wait(ctx) {
			return table.Verdict{}, submitError(maySit)
		}
	}
}

// append outlives the end of ctx for a short time, so that an append under way does
// not become one of unknown outcome.
func (s *Syncer) append(ctx context.Context, data []byte) error {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	_, err := s.cfg.Log.Append(limited, s.cfg.Stream, data)
	return err
}

func receive(verdict chan table.Verdict) (table.Verdict, bool) {
	select {
	case v := <-verdict:
		return v, true
	default:
		return table.Verdict{}, false
	}
}

func submitError(maySit bool) error {
	if maySit {
		return ErrUndecided
	}
	return ErrNotSubmitted
}

// Preview tells what would become of an edit now.
func (s *Syncer) Preview(ctx context.Context, edit table.Edit) (table.Verdict, error) {
	var v table.Verdict
	err := s.do(ctx, func(c *core) { v = c.machine.Preview(edit) })
	return v, err
}

// History returns the verdicts of the newest edits, oldest first.
func (s *Syncer) History(ctx context.Context) ([]table.Verdict, error) {
	var list []table.Verdict
	err := s.do(ctx, func(c *core) { list = c.machine.History() })
	return list, err
}
