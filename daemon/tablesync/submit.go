package tablesync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/logservice"
)

// appendTimeout bounds one append to the log.
const appendTimeout = 3 * time.Second

var (
	// ErrNotSubmitted means that the edit is not in the log and never will be.
	ErrNotSubmitted = errors.New("edit not submitted: the log service is unavailable")
	// ErrUndecided means that the edit may be in the log and that its verdict was not read in
	// time. Submitting it again with the same ID is safe and returns the verdict.
	ErrUndecided = errors.New("edit submitted, verdict not known yet: submit it again with the same ID")
	// ErrInvalidEdit means that the edit can't be encoded as a valid record; it was not submitted.
	ErrInvalidEdit = errors.New("not a valid edit")
)

// Submit appends an edit to the log and returns its verdict once the record was read back. If
// the answer to the append is lost, the record is appended again: of two records with the same
// edit ID only the first counts.
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

// encode returns the record of an edit. It fails if readers could not decode the record.
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

// submit appends the record, with retries, and reads the log until the verdict is known or ctx
// ends.
func (s *Syncer) submit(ctx context.Context, data []byte, verdict chan table.Verdict) (table.Verdict, error) {
	retry := s.backoff()
	mayBeInLog := false
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
			mayBeInLog = mayBeInLog || !errors.Is(err, logservice.ErrUnavailable)
		}
		if mayBeInLog {
			_ = s.catchUp(ctx)
		}
		if v, ok := receive(verdict); ok {
			return v, nil
		}
		if !retry.wait(ctx) {
			return table.Verdict{}, submitError(mayBeInLog)
		}
	}
}

// append appends data to the log. It may go on until appendTimeout after ctx has ended, so that
// the outcome of an append in progress becomes known.
func (s *Syncer) append(ctx context.Context, data []byte) error {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	_, err := s.cfg.Log.Append(limited, s.cfg.Stream, data)
	return err
}

// receive returns the verdict if it has arrived.
func receive(verdict chan table.Verdict) (table.Verdict, bool) {
	select {
	case v := <-verdict:
		return v, true
	default:
		return table.Verdict{}, false
	}
}

// submitError returns the error of a submission without a verdict.
func submitError(mayBeInLog bool) error {
	if mayBeInLog {
		return ErrUndecided
	}
	return ErrNotSubmitted
}

// Preview returns the verdict that an edit would get now, without submitting it.
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
