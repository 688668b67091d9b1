package medlarjob

import (
	"fmt"

	"medlarwheel"
	"medlarwheel/medlarquota"
)

// WorkerShape is a size that workers of a data centre have.
type WorkerShape struct {
	Size medlarwheel.Resources
	// Available is the number of workers of the size that take tasks, and Away that of workers that are draining or on
	// probation.
	Available   int
	Unavailable int
}

// checkCapacity refuses tasks that are too large for every worker, and gangs that are too large for all workers together.
func (c Config) checkCapacity(spec *medlarwheel.TaskSpec, tasks int, around *SubmitContext, refused *faultCollector) {
	if len(around.Shapes) == 0 {
		refused.addTransient("data-centre", "workers are not known yet", "a data centre with known workers", c.RetryBusy)
		return
	}
	needed, what := 1, "one task"
	if spec.Gang {
		needed, what = tasks, fmt.Sprintf("%d tasks at once", tasks)
	}
	live, all := 0, 0
	for i := range around.Shapes {
		shape := &around.Shapes[i]
		each := tasksPerWorker(spec.Size, shape.Size, needed)
		live += min(each*shape.Available, needed)
		all += min(each*(shape.Available+shape.Unavailable), needed)
	}
	value := fmt.Sprintf("%+v", spec.Size)
	switch {
	case all < needed:
		refused.addPermanent("size", value, fmt.Sprintf("a size of which the workers hold %s; largest workers: %s", what,
			largestShapes(around.Shapes)))
	case live < needed:
		refused.addTransient("size", value, fmt.Sprintf("a size of which the workers that are not draining hold %s", what),
			c.RetryAway)
	}
	if spec.Gang && spec.MaxPerRack > 0 && around.Racks > 0 && tasks > spec.MaxPerRack*around.Racks {
		refused.addPermanent("tasks", tasks, fmt.Sprintf("at most %d for each of %d racks", spec.MaxPerRack, around.Racks))
	}
}

// tasksPerWorker returns how many tasks of a size a worker holds, up to limit.
func tasksPerWorker(size, worker medlarwheel.Resources, limit int) int {
	count := int64(limit)
	for _, c := range [][2]int64{
		{int64(size.CPU), int64(worker.CPU)},
		{int64(size.Memory), int64(worker.Memory)},
		{int64(size.Accelerators), int64(worker.Accelerators)},
	} {
		if c[0] > 0 {
			count = min(count, c[1]/c[0])
		}
	}
	return int(count)
}

// largestShapes describes the shapes that no other shape exceeds.
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

// checkQuotas refuses a request that no state of the quotas can ever admit. The tasks of a service and of a gang run at
// the same time; others may follow each other.
func checkQuotas(
	spec *medlarwheel.TaskSpec, tasks int, request *medlarwheel.JobRequest, around *SubmitContext, refused *faultCollector,
) {
	path, need := "size", spec.Size
	if spec.Gang || around.Template.Kind == medlarwheel.KindService {
		path, need = "tasks", spec.Size.Times(tasks)
	}
	team := medlarquota.TeamOf(request.Account, around.Account)
	quotas := []struct {
		name  string
		quota medlarwheel.Resources
	}{
		{"team " + string(team), around.TeamQuota},
		{"account " + string(request.Account), accountQuota(around.Account)},
		{"template " + string(request.Template), around.Account.ParametersFor(around.Template).Quota},
	}
	for _, q := range quotas {
		if !medlarquota.WithinQuota(need, q.quota) {
			refused.addPermanent(path, fmt.Sprintf("%+v", need), fmt.Sprintf("within the quota of %s: %+v", q.name, q.quota))
		}
	}
}

func accountQuota(account *medlarwheel.Account) medlarwheel.Resources {
	if account == nil {
		return medlarwheel.Resources{}
	}
	return account.Quota
}
