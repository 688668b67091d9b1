package medlarscheduler

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplatform"
	"medlarwheel/medlarquota"
)

// ErrNameConflict means that the account has submitted a different request under the same job name.
var ErrNameConflict = errors.New("the account has a job of this name with another request")

// Submit checks a request and writes its job. A job that is returned without an error has been committed to the table.
// Submitting the same request again returns the existing job.
func (sc *Scheduler) Submit(ctx context.Context, request *medlarwheel.JobRequest) (medlarwheel.Job, error) {
	if request.DataCentre != sc.config.Instance.DataCentre {
		return medlarwheel.Job{}, sc.wrongDataCentreError(request.DataCentre)
	}
	submitContext, err := sc.submitContext(ctx, request)
	if err != nil {
		return medlarwheel.Job{}, err
	}
	record, write, err := sc.config.Job.Submit(request, submitContext, sc.deps.Clock.Now())
	if err != nil {
		return medlarwheel.Job{}, err
	}
	commit, err := sc.deps.Table.Transact(ctx, sc.deps.OperationIDs.Next(), []medlarwheel.Write{write})
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) {
		return sc.existingJob(ctx, record.Key(), request)
	}
	if err != nil {
		return medlarwheel.Job{}, err
	}
	sc.postToControl(ctx, func(s *state) {
		s.applyRow(medlarwheel.Row{Key: write.Key, Version: commit.Version, Value: write.Value})
	})
	return *record.Job(), nil
}

// wrongDataCentreError returns the error for a job of another data centre, whose workers and shards this instance does not
// know.
func (sc *Scheduler) wrongDataCentreError(dc medlarwheel.DataCentreID) error {
	return medlarwheel.Faults{}.Add("data-centre", string(dc), "the data centre of the asked instance, "+string(sc.config.Instance.DataCentre)).Err()
}

// existingJob returns the job that was submitted earlier under the same name, if its request was the same.
func (sc *Scheduler) existingJob(ctx context.Context, key string, request *medlarwheel.JobRequest) (medlarwheel.Job, error) {
	row, err := sc.deps.Table.Row(ctx, key)
	if err != nil {
		return medlarwheel.Job{}, err
	}
	record, err := medlarjob.Decode(row, sc.config.Job)
	if err != nil {
		return medlarwheel.Job{}, err
	}
	if !record.MatchesRequest(request) {
		return medlarwheel.Job{}, medlarwheel.WithOperation("submit "+request.Name, "", ErrNameConflict)
	}
	return *record.Job(), nil
}

// submitContext collects the data that a request is checked against.
func (sc *Scheduler) submitContext(ctx context.Context, request *medlarwheel.JobRequest) (*medlarjob.SubmitContext, error) {
	result, ok := callControl(ctx, sc, (*state).workerShapes)
	if !ok {
		return nil, medlarwheel.WithOperation("submit", "", medlarwheel.ErrUnavailable)
	}
	configuration := sc.deps.Configuration()
	result.Template, _ = configuration.Template(request.Template)
	result.Account, _ = configuration.Account(request.Account)
	team := string(medlarquota.TeamOf(request.Account, result.Account))
	shard := medlarlease.ShardID{
		DataCentre: request.DataCentre, Kind: medlarlease.ShardKindJob, Index: medlarlease.ShardOf(team),
	}
	records, err := sc.readJobs(ctx, medlarlease.JobPrefix(shard))
	for i := range records {
		if job := records[i].Job(); job.Account == request.Account && !job.State.IsFinal() && job.Name != request.Name {
			result.OpenJobs++
		}
	}
	return &result, err
}

// workerShapes counts the racks, and the available and unavailable workers of each size.
func (s *state) workerShapes() medlarjob.SubmitContext {
	var result medlarjob.SubmitContext
	at := make(map[medlarwheel.Resources]int)
	racks := make(map[medlarwheel.RackID]bool)
	for _, entry := range s.workers {
		w := entry.record.Worker()
		racks[w.Rack] = true
		i, known := at[w.Size]
		if !known {
			i = len(result.Shapes)
			at[w.Size] = i
			result.Shapes = append(result.Shapes, medlarjob.WorkerShape{Size: w.Size})
		}
		if w.Draining || w.Probation != nil {
			result.Shapes[i].Unavailable++
		} else {
			result.Shapes[i].Available++
		}
	}
	result.Racks = len(racks)
	return result
}

// readJobs reads all jobs below a prefix from the table.
func (sc *Scheduler) readJobs(ctx context.Context, prefix string) ([]medlarjob.Record, error) {
	rows, _, err := medlarplatform.AllChanges(ctx, sc.deps.Table, prefix, 0)
	if err != nil {
		return nil, err
	}
	var records []medlarjob.Record
	for _, row := range rows {
		if _, isEviction := parseEvictionKey(row.Key); row.Deleted || isEviction || !strings.HasPrefix(row.Key, prefix) {
			continue
		}
		record, err := medlarjob.Decode(row, sc.config.Job)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
