package medlarwheel

import (
	"fmt"
	"regexp"
	"time"
)

// Identifiers of the domain. Each has its own type, so that the compiler rejects one that is passed in place of another.
type (
	// DataCentreID names a data centre.
	DataCentreID string
	// InstanceID names an entry instance.
	InstanceID string
	// UpstreamID names one upstream instance, which users also call a runner.
	UpstreamID string
	// ServiceName names a group of interchangeable upstreams.
	ServiceName string
	// AccountID names a client account.
	AccountID string
	// TemplateName names a template.
	TemplateName string
	// RequestKey identifies one request across all its attempts.
	RequestKey string
	// AttemptID identifies one attempt of a request key.
	AttemptID string
	// WorkerID names a worker.
	WorkerID string
	// RackID names a rack of workers.
	RackID string
	// JobID names a job.
	JobID string
	// TaskID names a task of a job or service.
	TaskID string
	// OperationID identifies one write to the platform's table, so that the result of a write can be read if its
	// response was lost.
	OperationID string
	// Author names the operator who made a change.
	Author string
)

// Incarnation counts the starts of a process. A higher incarnation supersedes a lower one.
type Incarnation uint64

// Epoch counts the changes of a record that instances agree on, such as a roster. A lower epoch is stale.
type Epoch uint64

// ConfigVersion counts committed configuration changes.
type ConfigVersion uint64

// RowVersion is the commit version of a row in the platform's table. Zero means that the row does not exist.
type RowVersion uint64

// TableTime is a reading of the platform's table's steady clock, in nanoseconds since an origin that all instances share. It is the time
// that one process may stamp and another compare: clocks of instances may differ. Zero stands for none.
type TableTime time.Duration

// FencingToken orders the holders of a lease. A worker refuses a token lower than the highest it has seen.
type FencingToken uint64

// MaxNameLength is the maximum length of a name in characters.
const MaxNameLength = 63

// MaxRequestKeyLength is the maximum length of a request key in bytes.
const MaxRequestKeyLength = 200

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

const nameFormat = "1 to 63 characters of a-z, 0-9, '-' and '.', starting and ending with a letter or digit"

// CheckName reports a fault at path unless name is a valid identifier.
func CheckName(path, name string) Faults {
	if len(name) <= MaxNameLength && namePattern.MatchString(name) {
		return nil
	}
	return Faults{{Path: path, Value: fmt.Sprintf("%q", name), Accepted: nameFormat}}
}
