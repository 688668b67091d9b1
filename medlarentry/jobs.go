package medlarentry

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlarconfig"
	"medlarwheel/medlarjob"
	"medlarwheel/medlaroperator"
	"medlarwheel/medlarscheduler"
)

func newScheduler(d *Daemon) *medlarscheduler.Scheduler {
	return medlarscheduler.New(medlarscheduler.DefaultConfig(d.self()), medlarscheduler.Dependencies{
		Table: d.platform, DialAgent: medlarscheduler.Dial, Clock: d.clock, OperationIDs: d.operations, Log: d.log,
		Configuration: func() *medlarconfig.Snapshot { return d.snapshot.Load().config },
	})
}

// runScheduler runs the scheduler of jobs until the base context ends. The instance shuts down if a later process has taken
// over its lease.
func (d *Daemon) runScheduler() error {
	if err := d.scheduler.Run(d.baseCtx); err != nil {
		d.log.Error().Str("event", "superseded").Err(err).
			Msg("a later process of this instance has taken over its lease; shutting down")
		d.requestStop()
	}
	return nil
}

// releaseShards gives up the shards of the instance, so that other instances can take them over immediately.
func (d *Daemon) releaseShards() {
	ctx, cancel := context.WithTimeout(d.baseCtx, 2*d.settings.PlatformTimeout)
	defer cancel()
	if err := d.scheduler.Leave(ctx); err != nil {
		d.log.Warn().Str("event", "leave-shards").Err(err).
			Msg("cannot release the shards; other instances take them over when the lease has expired")
	}
}

func jobRoutes() []operatorRoute {
	return []operatorRoute{
		{fasthttp.MethodPost, medlaroperator.PathJobs, (*Daemon).submitJob},
		{fasthttp.MethodGet, medlaroperator.PathJobs, (*Daemon).listJobs},
		{fasthttp.MethodDelete, medlaroperator.PathJobs, (*Daemon).cancelJobs},
		{fasthttp.MethodGet, medlaroperator.PathJobs + "/", (*Daemon).showJob},
		{fasthttp.MethodDelete, medlaroperator.PathJobs + "/", (*Daemon).cancelJob},
		{fasthttp.MethodGet, medlaroperator.PathWorkers, (*Daemon).listWorkers},
		{fasthttp.MethodGet, medlaroperator.PathTasks, (*Daemon).listTasks},
	}
}

// runOperatorCommand runs work with the timeout of operator commands and responds with its result.
func runOperatorCommand[T any](d *Daemon, ctx *fasthttp.RequestCtx, work func(ctx context.Context) (T, error)) {
	limited, cancel := context.WithTimeout(d.baseCtx, operatorTimeout)
	defer cancel()
	value, err := work(limited)
	if err != nil {
		writeError(ctx, jobError(err))
		return
	}
	writeJSON(ctx, value)
}

func (d *Daemon) submitJob(ctx *fasthttp.RequestCtx, _ string) {
	request, err := medlarwheel.Decode[medlarwheel.JobRequest](ctx.PostBody())
	if err != nil {
		writeError(ctx, jobError(err))
		return
	}
	runOperatorCommand(d, ctx, func(c context.Context) (medlarwheel.Job, error) {
		job, err := d.scheduler.Submit(c, &request)
		if err == nil {
			d.log.Info().Str("event", "job-submitted").Str("job", string(job.ID)).Str("name", job.Name).
				Str("account", string(job.Account)).Send()
		}
		return job, err
	})
}

func (d *Daemon) listJobs(ctx *fasthttp.RequestCtx, _ string) {
	account := medlarwheel.AccountID(ctx.QueryArgs().Peek("account"))
	runOperatorCommand(d, ctx, func(c context.Context) (medlaroperator.JobList, error) {
		jobs, err := d.scheduler.Jobs(c, account)
		return medlaroperator.JobList{Jobs: jobs}, err
	})
}

func (d *Daemon) showJob(ctx *fasthttp.RequestCtx, name string) {
	runOperatorCommand(d, ctx, func(c context.Context) (medlarwheel.Job, error) { return d.scheduler.Job(c, medlarwheel.JobID(name)) })
}

func (d *Daemon) cancelJob(ctx *fasthttp.RequestCtx, name string) {
	reason := cancelReason(ctx)
	runOperatorCommand(d, ctx, func(c context.Context) (medlarwheel.Job, error) {
		return d.scheduler.Cancel(c, medlarwheel.JobID(name), reason)
	})
}

// cancelJobs cancels the jobs of one client account. The account is required, so that no request cancels all jobs by
// accident.
func (d *Daemon) cancelJobs(ctx *fasthttp.RequestCtx, _ string) {
	account := string(ctx.QueryArgs().Peek("account"))
	if err := medlarwheel.CheckName("account", account).Err(); err != nil {
		writeError(ctx, jobError(err))
		return
	}
	reason := cancelReason(ctx)
	runOperatorCommand(d, ctx, func(c context.Context) (medlaroperator.CancelResult, error) {
		count, err := d.scheduler.CancelAccount(c, medlarwheel.AccountID(account), reason)
		return medlaroperator.CancelResult{Jobs: count}, err
	})
}

func cancelReason(ctx *fasthttp.RequestCtx) string {
	if author := string(ctx.Request.Header.Peek(medlaroperator.HeaderAuthor)); author != "" {
		return "cancelled by " + author
	}
	return "cancelled by an operator"
}

func (d *Daemon) listWorkers(ctx *fasthttp.RequestCtx, _ string) {
	runOperatorCommand(d, ctx, func(c context.Context) (medlaroperator.WorkerList, error) {
		workers, err := d.scheduler.Workers(c)
		return medlaroperator.WorkerList{Workers: workers}, err
	})
}

func (d *Daemon) listTasks(ctx *fasthttp.RequestCtx, _ string) {
	runOperatorCommand(d, ctx, func(c context.Context) (medlaroperator.TaskList, error) {
		list := medlaroperator.TaskList{Tasks: []medlaroperator.TaskOnWorker{}}
		workers, err := d.scheduler.Workers(c)
		for i := range workers {
			for _, commitment := range workers[i].Commitments {
				list.Tasks = append(list.Tasks, medlaroperator.TaskOnWorker{Worker: workers[i].ID, Commitment: commitment})
			}
		}
		return list, err
	})
}

// jobError converts an error about jobs to the error that is sent to the operator.
func jobError(err error) *medlaroperator.Error {
	var rejected *medlarjob.SubmitError
	switch {
	case errors.As(err, &rejected) && rejected.RetryAfter > 0:
		return &medlaroperator.Error{
			Code: medlaroperator.CodeUnavailable, Message: "the job is not accepted at present", Faults: rejected.Faults,
			RetryAfter: rejected.RetryAfter,
		}
	case errors.Is(err, medlarscheduler.ErrNameConflict):
		return &medlaroperator.Error{Code: medlaroperator.CodeConflict, Message: err.Error()}
	case errors.Is(err, medlarwheel.ErrNotFound):
		return &medlaroperator.Error{Code: medlaroperator.CodeNotFound, Message: err.Error()}
	default:
		return operatorError(err)
	}
}
