package medlarscheduler

import (
	"context"

	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarconfig"
)

// Table holds the calls to the table and the object store of the platform. *medlarplatform.Client implements it.
type Table interface {
	Transact(ctx context.Context, op medlarwheel.OperationID, writes []medlarwheel.Write) (medlarwheel.Commit, error)
	Row(ctx context.Context, key string) (medlarwheel.Row, error)
	Changes(ctx context.Context, prefix string, after medlarwheel.RowVersion, limit int) (medlarwheel.ChangePage, error)
	Object(ctx context.Context, name string) ([]byte, error)
}

// Agent is a connection to the agent of one worker. *medlaragentapi.Client implements it.
type Agent interface {
	Start(ctx context.Context, r medlaragentapi.StartRequest) (medlaragentapi.TaskResponse, error)
	Checkpoint(ctx context.Context, r medlaragentapi.CheckpointRequest) (medlaragentapi.TaskResponse, error)
	Renew(ctx context.Context, r medlaragentapi.RenewRequest) (medlaragentapi.RenewResponse, error)
	Stop(ctx context.Context, r medlaragentapi.StopRequest) (medlaragentapi.TaskResponse, error)
	Throttle(ctx context.Context, r medlaragentapi.ThrottleRequest) (medlaragentapi.TaskResponse, error)
	Tasks(ctx context.Context) (medlaragentapi.TaskList, error)
	Usage(ctx context.Context) (medlaragentapi.UsageReport, error)
	Close()
}

// AgentDialer returns a connection to the agent at an address.
type AgentDialer func(address string) Agent

// Dial returns a connection over HTTP to the agent at an address.
func Dial(address string) Agent {
	return medlaragentapi.NewClient(medlaragentapi.DefaultConfig(address))
}

// Configuration returns the configuration in force.
type Configuration func() *medlarconfig.Snapshot

// OperationIDGenerator generates operation ids. *medlarplatform.OperationIDGenerator implements it.
type OperationIDGenerator interface {
	Next() medlarwheel.OperationID
}

// Dependencies holds what a Scheduler uses for I/O, configuration, time and logging.
type Dependencies struct {
	Table         Table
	DialAgent     AgentDialer
	Configuration Configuration
	Clock         medlarwheel.Clock
	OperationIDs  OperationIDGenerator
	Log           zerolog.Logger
}
