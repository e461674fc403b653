package entry

import (
	"context"
	"sync/atomic"
	"time"

	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/caller"
)

// commandBuffer is the capacity of a call's command channel. Not more than two
// commands can be outstanding: one to read a stream and the final one.
const commandBuffer = 4

// call is one caller's request in progress. The control goroutine owns its state
// machine and sends commands; the goroutine of the caller's connection executes them
// and transfers the bytes.
type call struct {
	key           uint64
	request       *caller.Request
	account       table.Account
	tier          table.Tier
	endpoint      table.Endpoint
	nonIdempotent bool
	arrived       time.Duration // on the clock of Entry.now
	deadline      time.Duration // on the same clock; the caller's, less answerMargin

	machine          *request.Request
	grantIncarnation string // incarnation of the agent whose grant was accepted
	queued           bool
	queueItem        request.Item          // as the queue last returned it, which keeps its position
	chargedTokens    float64               // tokens charged to the account
	usage            atomic.Pointer[usage] // of the run; set once its end frame has arrived
	reservations     map[uint64]context.CancelFunc
	closeStream      context.CancelFunc
	timer            *time.Timer
	commands         chan command
}

// usage is the number of tokens that an endpoint spent on a run.
type usage struct {
	prefill, cached, generated uint32
}

// command is an instruction to the goroutine of a caller's connection.
type command interface{ command() }

// streamCommand dispatches a request, or attaches to its run, and reads the frames
// of the answer.
type streamCommand struct {
	ctx      context.Context
	close    context.CancelFunc
	stream   uint64
	attempt  uint32
	agent    string
	dispatch *request.Grant // the grant to dispatch under; nil = read an existing run
	offset   int64
}

// finalCommand ends the call and its answer.
type finalCommand struct {
	effect request.Effect // Finish, Refuse or Abort
}

func (streamCommand) command() {}
func (finalCommand) command()  {}
