package medlarcommand

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"medlarwheel"
	"medlarwheel/medlaroperator"
)

func newJobCommand(o *operatorOptions) *cobra.Command {
	command := &cobra.Command{
		Use: "job", Short: "Submit, show, list, watch and cancel jobs", Example: "  medlarwheel job list --account coast-agency",
	}
	command.AddCommand(newJobSubmitCommand(o), newJobShowCommand(o), newJobListCommand(o), newJobWatchCommand(o), newJobCancelCommand(o))
	return command
}

func newJobSubmitCommand(o *operatorOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job from a JSON file, or from standard input if FILE is -",
		Long: "Submit a job from a JSON file, or from standard input if FILE is -. A job that is printed has been accepted and will run.\n" +
			"Submitting the same file again prints the same job.",
		Example: "  medlarwheel job submit examples/night-allotment.job.json",
		Args:    exactArguments(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			data, err := readInput(arguments[0], c.InOrStdin())
			if err != nil {
				return err
			}
			if _, err := medlarwheel.Decode[medlarwheel.JobRequest](data); err != nil {
				return err
			}
			job, err := medlaroperator.Post[medlarwheel.Job](o.client(), medlaroperator.PathJobs, data)
			if err != nil {
				return err
			}
			return writeJobs(c.OutOrStdout(), o, job, job)
		},
	}
}

func newJobShowCommand(o *operatorOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "show ID",
		Short:   "Show a job with its tasks",
		Example: "  medlarwheel job show 17-3f6c0d1b2a495867 --output json",
		Args:    exactArguments(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			job, err := medlaroperator.Get[medlarwheel.Job](o.client(), medlaroperator.JobPath(arguments[0]))
			if err != nil {
				return err
			}
			readable := table{header: []string{"TASK", "STATE", "ATTEMPT", "WORKER", "FAILURES", "REASON"}}
			for i := range job.Tasks {
				readable.rows = append(readable.rows, taskRow(&job, i))
			}
			return writeValue(c.OutOrStdout(), o.output, job, readable)
		},
	}
}

func taskRow(job *medlarwheel.Job, index int) []string {
	task := &job.Tasks[index]
	worker := "-"
	if task.Run != nil {
		worker = string(task.Run.Worker)
	}
	return []string{
		string(job.TaskID(index)), string(task.State), strconv.FormatUint(uint64(task.Attempt), 10), worker,
		strconv.Itoa(task.Failures), task.Reason,
	}
}

func newJobListCommand(o *operatorOptions) *cobra.Command {
	var account string
	command := &cobra.Command{
		Use:     "list",
		Short:   "List the jobs in the data centre of the entry instance that answers",
		Example: "  medlarwheel job list --account coast-agency --output json",
		Args:    exactArguments(0),
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := medlaroperator.Get[medlaroperator.JobList](o.client(), medlaroperator.AccountJobsPath(account))
			if err != nil {
				return err
			}
			return writeJobs(c.OutOrStdout(), o, list, list.Jobs...)
		},
	}
	command.Flags().StringVar(&account, "account", "", "list only the jobs of this account")
	return command
}

func newJobWatchCommand(o *operatorOptions) *cobra.Command {
	interval := time.Second
	command := &cobra.Command{
		Use:     "watch ID",
		Short:   "Print a job whenever its progress changes, until it has ended",
		Example: "  medlarwheel job watch 17-3f6c0d1b2a495867",
		Args:    exactArguments(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			return watchJob(c, o, arguments[0], interval)
		},
	}
	command.Flags().DurationVar(&interval, "interval", interval, "polling interval")
	return command
}

// watchJob polls a job and prints it whenever its state or its task counts change, until it has ended.
func watchJob(c *cobra.Command, o *operatorOptions, id string, interval time.Duration) error {
	client, last := o.client(), ""
	ticker := time.NewTicker(max(interval, time.Millisecond))
	defer ticker.Stop()
	for {
		job, err := medlaroperator.Get[medlarwheel.Job](client, medlaroperator.JobPath(id))
		if err != nil {
			return err
		}
		if progress := fmt.Sprint(job.State, taskCounts(&job)); progress != last {
			last = progress
			if err := writeJobs(c.OutOrStdout(), o, job, job); err != nil {
				return err
			}
		}
		if job.State.IsFinal() {
			return nil
		}
		select {
		case <-c.Context().Done():
			return c.Context().Err()
		case <-ticker.C:
		}
	}
}

func newJobCancelCommand(o *operatorOptions) *cobra.Command {
	var account string
	command := &cobra.Command{
		Use:     "cancel [ID]",
		Short:   "Cancel a job, or all jobs of an account",
		Example: "  medlarwheel job cancel 17-3f6c0d1b2a495867 --author ada\n  medlarwheel job cancel --account coast-agency --author ada",
		Args: func(c *cobra.Command, arguments []string) error {
			if account != "" {
				return exactArguments(0)(c, arguments)
			}
			return exactArguments(1)(c, arguments)
		},
		RunE: func(c *cobra.Command, arguments []string) error {
			author := medlarwheel.Author(o.author)
			if account != "" {
				cancelled, err := medlaroperator.Delete[medlaroperator.CancelResult](o.client(), medlaroperator.AccountJobsPath(account), author)
				if err != nil {
					return err
				}
				return writeValue(c.OutOrStdout(), o.output, cancelled, table{
					header: []string{"CANCELLED"}, rows: [][]string{{strconv.Itoa(cancelled.Jobs)}},
				})
			}
			job, err := medlaroperator.Delete[medlarwheel.Job](o.client(), medlaroperator.JobPath(arguments[0]), author)
			if err != nil {
				return err
			}
			return writeJobs(c.OutOrStdout(), o, job, job)
		},
	}
	command.Flags().StringVar(&account, "account", "", "cancel all jobs of this account")
	return command
}

// writeJobs writes value as JSON, or a table with one row per job.
func writeJobs(w io.Writer, o *operatorOptions, value any, jobs ...medlarwheel.Job) error {
	readable := table{header: []string{"JOB", "NAME", "ACCOUNT", "TEMPLATE", "STATE", "WAITING", "ON WORKERS", "ENDED", "REASON"}}
	for i := range jobs {
		job := &jobs[i]
		row := []string{string(job.ID), job.Name, string(job.Account), string(job.Template), string(job.State)}
		readable.rows = append(readable.rows, append(append(row, taskCounts(job)...), job.Reason))
	}
	return writeValue(w, o.output, value, readable)
}

// taskCounts returns the number of tasks that wait, are on workers and have ended.
func taskCounts(job *medlarwheel.Job) []string {
	var waiting, active, ended int
	for i := range job.Tasks {
		switch state := job.Tasks[i].State; {
		case state.IsFinal():
			ended++
		case state.IsActive():
			active++
		default:
			waiting++
		}
	}
	return []string{strconv.Itoa(waiting), strconv.Itoa(active), strconv.Itoa(ended)}
}
