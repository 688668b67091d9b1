package medlarcommand

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"medlarwheel"
	"medlarwheel/medlaroperator"
)

func newWorkerCommand(o *operatorOptions) *cobra.Command {
	command := &cobra.Command{Use: "worker", Short: "Inspect workers", Example: "  medlarwheel worker list"}
	command.AddCommand(&cobra.Command{
		Use:     "list",
		Short:   "List the workers of the data centre of the asked entry instance",
		Example: "  medlarwheel worker list --output json",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := medlaroperator.Get[medlaroperator.WorkerList](o.client(), medlaroperator.PathWorkers)
			if err != nil {
				return err
			}
			readable := table{header: []string{"WORKER", "RACK", "ADDRESS", "SIZE", "FREE", "TASKS", "MARKS"}}
			for i := range list.Workers {
				w := &list.Workers[i]
				readable.rows = append(readable.rows, []string{
					string(w.ID), string(w.Rack), w.Address, formatResources(w.Size), formatResources(w.Free()), strconv.Itoa(len(w.Commitments)), workerStatus(w),
				})
			}
			return writeValue(c.OutOrStdout(), o.output, list, readable)
		},
	})
	return command
}

func newTaskCommand(o *operatorOptions) *cobra.Command {
	command := &cobra.Command{Use: "task", Short: "Inspect tasks on workers", Example: "  medlarwheel task list"}
	command.AddCommand(&cobra.Command{
		Use:     "list",
		Short:   "List the tasks on the workers of the data centre of the asked entry instance",
		Example: "  medlarwheel task list --output json",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := medlaroperator.Get[medlaroperator.TaskList](o.client(), medlaroperator.PathTasks)
			if err != nil {
				return err
			}
			readable := table{header: []string{"TASK", "ATTEMPT", "TEMPLATE", "CLASS", "WORKER", "RESOURCES"}}
			for _, t := range list.Tasks {
				readable.rows = append(readable.rows, []string{
					string(t.Task), strconv.FormatUint(uint64(t.Attempt), 10), string(t.Template), string(t.Class),
					string(t.Worker), formatResources(t.Resources),
				})
			}
			return writeValue(c.OutOrStdout(), o.output, list, readable)
		},
	})
	return command
}

// formatResources formats resources in cores and gigabytes.
func formatResources(r medlarwheel.Resources) string {
	const thousand = 1000
	text := fmt.Sprintf("%.3g cores, %.3g GB", float64(r.CPU)/thousand, float64(r.Memory)/thousand)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}

func workerStatus(w *medlarwheel.Worker) string {
	switch {
	case w.Draining:
		return "draining"
	case w.Probation != nil:
		return "probation"
	default:
		return "-"
	}
}
