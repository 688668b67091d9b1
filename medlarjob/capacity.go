package medlarjob

import (
	"fmt"

	"medlarwheel"
	"medlarwheel/medlarquota"
)

// WorkerShape is a worker size that occurs in a data centre, with the number of workers of that size.
type WorkerShape struct {
	Size medlarwheel.Resources
	// Available is the number of workers of the size that accept tasks, and Unavailable the number of those that are
	// draining or on probation.
	Available   int
	Unavailable int
}

// checkCapacity refuses tasks that are too large for every worker, and gangs that do not fit on all workers together.
func (c Config) checkCapacity(spec *medlarwheel.TaskSpec, tasks int, context *SubmitContext, faults *faultCollector) {
	if len(context.Shapes) == 0 {
		faults.addTransient("data-centre", "workers are not known yet", "a data centre with known workers", c.RetryBusy)
		return
	}
	needed, what := 1, "one task"
	if spec.Gang {
		needed, what = tasks, fmt.Sprintf("%d tasks at once", tasks)
	}
	available, all := 0, 0
	for i := range context.Shapes {
		shape := &context.Shapes[i]
		each := tasksPerWorker(spec.Size, shape.Size, needed)
		available += min(each*shape.Available, needed)
		all += min(each*(shape.Available+shape.Unavailable), needed)
	}
	value := fmt.Sprintf("%+v", spec.Size)
	switch {
	case all < needed:
		faults.addPermanent("size", value, fmt.Sprintf("a size of which the workers hold %s; largest workers: %s", what,
			largestShapes(context.Shapes)))
	case available < needed:
		faults.addTransient("size", value, fmt.Sprintf("a size of which the workers that are not draining hold %s", what),
			c.RetryUnavailable)
	}
	if spec.Gang && spec.MaxPerRack > 0 && context.Racks > 0 && tasks > spec.MaxPerRack*context.Racks {
		faults.addPermanent("tasks", tasks, fmt.Sprintf("at most %d for each of %d racks", spec.MaxPerRack, context.Racks))
	}
}

// tasksPerWorker returns how many tasks of a size fit on a worker, up to limit.
func tasksPerWorker(size, worker medlarwheel.Resources, limit int) int {
	count := int64(limit)
	for _, dimension := range [][2]int64{
		{int64(size.CPU), int64(worker.CPU)},
		{int64(size.Memory), int64(worker.Memory)},
		{int64(size.Accelerators), int64(worker.Accelerators)},
	} {
		if dimension[0] > 0 {
			count = min(count, dimension[1]/dimension[0])
		}
	}
	return int(count)
}

// largestShapes formats the sizes that do not fit within any other size.
func largestShapes(shapes []WorkerShape) string {
	text := ""
	for i := range shapes {
		dominated := false
		for j := range shapes {
			dominated = dominated || i != j && shapes[i].Size.Fits(shapes[j].Size) &&
				(shapes[i].Size != shapes[j].Size || j < i)
		}
		if !dominated {
			text += fmt.Sprintf("%+v ", shapes[i].Size)
		}
	}
	return text
}

// checkQuotas refuses a request that could not be admitted even if nothing else used the quotas. The tasks of a service or
// of a gang run at the same time and need the quota together; other tasks can run one after the other.
func checkQuotas(
	spec *medlarwheel.TaskSpec, tasks int, request *medlarwheel.JobRequest, context *SubmitContext, faults *faultCollector,
) {
	path, need := "size", spec.Size
	if spec.Gang || context.Template.Kind == medlarwheel.KindService {
		path, need = "tasks", spec.Size.Times(tasks)
	}
	team := medlarquota.TeamOf(request.Account, context.Account)
	quotas := []struct {
		name  string
		quota medlarwheel.Resources
	}{
		{"team " + string(team), context.TeamQuota},
		{"account " + string(request.Account), accountQuota(context.Account)},
		{"template " + string(request.Template), context.Account.ParametersFor(context.Template).Quota},
	}
	for _, q := range quotas {
		if !medlarquota.WithinQuota(need, q.quota) {
			faults.addPermanent(path, fmt.Sprintf("%+v", need), fmt.Sprintf("within the quota of %s: %+v", q.name, q.quota))
		}
	}
}

func accountQuota(account *medlarwheel.Account) medlarwheel.Resources {
	if account == nil {
		return medlarwheel.Resources{}
	}
	return account.Quota
}
