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

// ErrNameConflict means that the account has submitted another request under the same name.
var ErrNameConflict = errors.New("the account has a job of this name with another request")

// Submit checks a request and writes its job. A job that is returned without an error is in the table. Submitting the
// same request again returns the job of the first time.
func (f *Scheduler) Submit(ctx context.Context, request *medlarwheel.JobRequest) (medlarwheel.Job, error) {
	if request.DataCentre != f.config.Instance.DataCentre {
		return medlarwheel.Job{}, f.wrongDataCentreError(request.DataCentre)
	}
	around, err := f.submitContext(ctx, request)
	if err != nil {
		return medlarwheel.Job{}, err
	}
	record, write, err := f.config.Job.Submit(request, around, f.deps.Clock.Now())
	if err != nil {
		return medlarwheel.Job{}, err
	}
	commit, err := f.deps.Table.Transact(ctx, f.deps.Operations.Next(), []medlarwheel.Write{write})
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) {
		return f.existingJob(ctx, record.Key(), request)
	}
	if err != nil {
		return medlarwheel.Job{}, err
	}
	f.post(ctx, func(s *state) {
		s.applyRow(medlarwheel.Row{Key: write.Key, Version: commit.Version, Value: write.Value})
	})
	return *record.Job(), nil
}

// wrongDataCentreError refuses work for another data centre, whose workers and shards this instance does not know.
func (f *Scheduler) wrongDataCentreError(dc medlarwheel.DataCentreID) error {
	return medlarwheel.Faults{}.Add("data-centre", string(dc), "the data centre of the asked instance, "+string(f.config.Instance.DataCentre)).Err()
}

// existingJob returns the job that was submitted under the same name before.
func (f *Scheduler) existingJob(ctx context.Context, key string, request *medlarwheel.JobRequest) (medlarwheel.Job, error) {
	row, err := f.deps.Table.Row(ctx, key)
	if err != nil {
		return medlarwheel.Job{}, err
	}
	record, err := medlarjob.Decode(row, f.config.Job)
	if err != nil {
		return medlarwheel.Job{}, err
	}
	if !record.MatchesRequest(request) {
		return medlarwheel.Job{}, medlarwheel.WithOperation("submit "+request.Name, "", ErrNameConflict)
	}
	return *record.Job(), nil
}

// submitContext gathers what a request is checked against.
func (f *Scheduler) submitContext(ctx context.Context, request *medlarwheel.JobRequest) (*medlarjob.SubmitContext, error) {
	around, ok := runOnLoop(ctx, f, (*state).workerShapes)
	if !ok {
		return nil, medlarwheel.WithOperation("submit", "", medlarwheel.ErrUnavailable)
	}
	book := f.deps.Configuration()
	around.Template, _ = book.Template(request.Template)
	around.Account, _ = book.Account(request.Account)
	team := string(medlarquota.TeamOf(request.Account, around.Account))
	shard := medlarlease.ShardID{
		DataCentre: request.DataCentre, Kind: medlarlease.ShardKindJob, Index: medlarlease.ShardOf(team),
	}
	records, err := f.readJobs(ctx, medlarlease.JobPrefix(shard))
	for i := range records {
		if job := records[i].Job(); job.Account == request.Account && !job.State.IsFinal() && job.Name != request.Name {
			around.OpenJobs++
		}
	}
	return &around, err
}

// workerShapes counts the workers of each size.
func (s *state) workerShapes() medlarjob.SubmitContext {
	var around medlarjob.SubmitContext
	at := make(map[medlarwheel.Resources]int)
	racks := make(map[medlarwheel.RackID]bool)
	for _, entry := range s.workers {
		w := entry.record.Worker()
		racks[w.Rack] = true
		i, known := at[w.Size]
		if !known {
			i = len(around.Shapes)
			at[w.Size] = i
			around.Shapes = append(around.Shapes, medlarjob.WorkerShape{Size: w.Size})
		}
		if w.Draining || w.Probation != nil {
			around.Shapes[i].Unavailable++
		} else {
			around.Shapes[i].Available++
		}
	}
	around.Racks = len(racks)
	return around
}

// readJobs reads all jobs below a prefix from the table.
func (f *Scheduler) readJobs(ctx context.Context, prefix string) ([]medlarjob.Record, error) {
	rows, _, err := medlarplatform.AllChanges(ctx, f.deps.Table, prefix, 0)
	if err != nil {
		return nil, err
	}
	var records []medlarjob.Record
	for _, row := range rows {
		if _, evicts := parseEvictionKey(row.Key); row.Deleted || evicts || !strings.HasPrefix(row.Key, prefix) {
			continue
		}
		record, err := medlarjob.Decode(row, f.config.Job)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
