package medlaroperator

import (
	"net/url"

	"github.com/valyala/fasthttp"

	"medlarwheel"
)

// JobList is a list of jobs of one data centre.
type JobList struct {
	Jobs []medlarwheel.Job `json:"jobs"`
}

// CancelResult tells how many jobs a cancellation has changed.
type CancelResult struct {
	Jobs int `json:"jobs"`
}

// WorkerList is a list of the workers of one data centre.
type WorkerList struct {
	Workers []medlarwheel.Worker `json:"workers"`
}

// TaskOnWorker is a task that is committed on a worker.
type TaskOnWorker struct {
	Worker medlarwheel.WorkerID `json:"worker"`
	medlarwheel.Commitment
}

// TaskList is a list of the tasks on the workers of one data centre.
type TaskList struct {
	Tasks []TaskOnWorker `json:"tasks"`
}

// Delete removes path and reads the answer into a value of type T.
func Delete[T any](c *Client, path string, author medlarwheel.Author) (T, error) {
	return call[T](c, request{method: fasthttp.MethodDelete, path: path, author: author})
}

// JobPath returns the path of one job.
func JobPath(id string) string { return PathJobs + "/" + url.PathEscape(id) }

// AccountJobsPath returns the path of the jobs of an account. An empty account names all jobs.
func AccountJobsPath(account string) string {
	if account == "" {
		return PathJobs
	}
	return PathJobs + "?" + url.Values{"account": {account}}.Encode()
}
