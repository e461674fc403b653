package logservice

import (
	"net"

	"github.com/pkg/errors"
)

// appendError classifies a transport error of an append: only a connection that could
// not be established proves that the record was not added.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUnknownOutcome, err.Error())
}
