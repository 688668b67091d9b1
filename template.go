package medlarwheel

import (
	"fmt"
	"slices"
	"time"
)

// Template describes a latency-critical service or a batch job, and how it may share workers with other work.
type Template struct {
	Name  TemplateName `json:"name"`
	Kind  Kind         `json:"kind"`
	Class Class        `json:"class"`
	// Service describes the requests of a template of kind service.
	Service *ServiceSpec `json:"service,omitempty"`
	// Task describes the tasks that run on workers. A service without Task is run by its owners, not by the scheduler.
	Task *TaskSpec `json:"task,omitempty"`
	// Objective is the service-level objective that the burn-rate report measures.
	Objective *Objective `json:"objective,omitempty"`
	// Defaults apply to client accounts that set no parameters of their own.
	Defaults Parameters `json:"defaults"`
}

// ServiceSpec describes how requests of a template reach upstreams.
type ServiceSpec struct {
	// Upstream is the service whose instances serve the requests.
	Upstream ServiceName `json:"upstream"`
	// IdempotentMethods are the HTTP methods that may be sent more than once.
	IdempotentMethods []string `json:"idempotent-methods,omitempty"`
	// Slots is the number of requests that one upstream serves at a time.
	Slots Slots `json:"slots"`
	// Connections limits the open connections to one upstream from all entry instances together.
	Connections Connections `json:"connections"`
	// QueueTimeout limits the time that a request waits for a slot.
	QueueTimeout Duration `json:"queue-timeout"`
	// DefaultDeadline applies to a request that specifies no deadline.
	DefaultDeadline Duration `json:"default-deadline"`
	// MaxDeadline is the longest deadline that a request may specify.
	MaxDeadline Duration `json:"max-deadline"`
	// RequireEcho rejects responses that do not echo the attempt id. Otherwise only a different attempt id is rejected.
	RequireEcho bool `json:"require-echo,omitempty"`
}

// TaskSpec describes the tasks of a template.
type TaskSpec struct {
	// Size is the declared resource requirement of one task.
	Size Resources `json:"size"`
	// Replicas is the number of tasks of a service. A batch job specifies its own number.
	Replicas int `json:"replicas,omitempty"`
	// Gang makes the tasks of a job start together or not at all.
	Gang bool `json:"gang,omitempty"`
	// MaxPerRack limits the tasks of one job or service on one rack. Zero means no limit.
	MaxPerRack int `json:"max-per-rack,omitempty"`
	// MayShare allows other kinds of work on the same worker.
	MayShare bool `json:"may-share"`
	// RunTime is the declared run time of a batch task.
	RunTime Duration `json:"run-time,omitempty"`
	// MaxAttempts limits the failed attempts of a batch task.
	MaxAttempts int `json:"max-attempts,omitempty"`
}

// Objective is a service-level objective: the share of requests that get a response within a latency.
type Objective struct {
	// Latency is the longest response time that counts as good.
	Latency Duration `json:"latency"`
	// Target is the required share of good responses in millionths, such as 999000.
	Target int `json:"target-millionths"`
}

// Parameters are the settings of a template for one client account.
type Parameters struct {
	// Weight is the account's relative share of the capacity that is lent.
	Weight Weight `json:"weight"`
	// GuaranteedSlots is the number of requests in flight that are guaranteed to the account, over all entry instances.
	GuaranteedSlots Slots `json:"guaranteed-slots"`
	// QueueLimit limits the account's queued requests per entry instance.
	QueueLimit int `json:"queue-limit"`
	// Quota limits the resources of the account's running tasks of this template. A zero component is unlimited.
	Quota Resources `json:"quota"`
}

// Limits of template values from external input.
const (
	maxSlots         = 1024
	maxConnections   = 65536
	maxQueueLimit    = 100_000
	maxWeight        = 1000
	maxReplicas      = 50_000
	maxAttempts      = 100
	millionths       = 1_000_000
	minDeadline      = Duration(10 * time.Millisecond)
	maxDeadline      = Duration(5 * time.Minute)
	maxQueueTimeout  = Duration(30 * time.Second)
	maxRunTime       = Duration(30 * 24 * time.Hour)
	maxObjectiveTime = Duration(10 * time.Minute)
)

// DecodeTemplate decodes a template from JSON and reports its faults together.
func DecodeTemplate(data []byte) (Template, error) { return Decode[Template](data) }

// Check reports every fault of t.
func (t *Template) Check() Faults {
	faults := CheckName("name", string(t.Name))
	faults = append(faults, t.Kind.Check("kind")...)
	faults = append(faults, t.Class.Check("class")...)
	if t.Kind == KindService && t.Service == nil {
		faults = faults.Add("service", "missing", "an object, because kind is service")
	}
	if t.Kind == KindBatch && t.Service != nil {
		faults = faults.Add("service", "present", "nothing, because kind is batch")
	}
	if t.Kind == KindBatch && t.Task == nil {
		faults = faults.Add("task", "missing", "an object, because kind is batch")
	}
	if t.Service != nil {
		faults = append(faults, t.Service.check("service")...)
	}
	if t.Task != nil {
		faults = append(faults, t.Task.check("task", t.Kind)...)
	}
	if t.Objective != nil {
		faults = append(faults, t.Objective.check("objective")...)
	}
	return append(faults, t.Defaults.Check("defaults")...)
}

// IsIdempotent reports whether requests with the HTTP method may be sent more than once.
func (s *ServiceSpec) IsIdempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

func (s *ServiceSpec) check(path string) Faults {
	faults := CheckName(path+".upstream", string(s.Upstream))
	for i, method := range s.IdempotentMethods {
		faults = append(faults, checkMethod(fmt.Sprintf("%s.idempotent-methods[%d]", path, i), method)...)
	}
	faults = faults.CheckRange(path+".slots", int64(s.Slots), 1, maxSlots)
	faults = faults.CheckRange(path+".connections", int64(s.Connections), int64(max(1, s.Slots)), maxConnections)
	faults = faults.CheckDurationRange(path+".queue-timeout", s.QueueTimeout, 0, maxQueueTimeout)
	faults = faults.CheckDurationRange(path+".max-deadline", s.MaxDeadline, minDeadline, maxDeadline)
	return faults.CheckDurationRange(path+".default-deadline", s.DefaultDeadline, minDeadline, max(minDeadline, s.MaxDeadline))
}

func checkMethod(path, method string) Faults {
	methods := []string{"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"}
	if slices.Contains(methods, method) {
		return nil
	}
	return Faults{{Path: path, Value: fmt.Sprintf("%q", method), Accepted: fmt.Sprint(methods)}}
}

func (s *TaskSpec) check(path string, kind Kind) Faults {
	faults := s.Size.Check(path + ".size")
	if s.Size.CPU == 0 && s.Size.Accelerators == 0 {
		faults = faults.Add(path+".size", "no processor and no accelerator", "at least one of them above zero")
	}
	minReplicas := int64(0)
	if kind == KindService {
		minReplicas = 1
	}
	faults = faults.CheckRange(path+".replicas", int64(s.Replicas), minReplicas, maxReplicas)
	faults = faults.CheckRange(path+".max-per-rack", int64(s.MaxPerRack), 0, maxReplicas)
	faults = faults.CheckRange(path+".max-attempts", int64(s.MaxAttempts), 0, maxAttempts)
	return faults.CheckDurationRange(path+".run-time", s.RunTime, 0, maxRunTime)
}

func (o *Objective) check(path string) Faults {
	var faults Faults
	faults = faults.CheckDurationRange(path+".latency", o.Latency, Duration(time.Millisecond), maxObjectiveTime)
	return faults.CheckRange(path+".target-millionths", int64(o.Target), 1, millionths-1)
}

// Check reports every fault of p, with paths prefixed by path.
func (p Parameters) Check(path string) Faults {
	var faults Faults
	faults = faults.CheckRange(path+".weight", int64(p.Weight), 1, maxWeight)
	faults = faults.CheckRange(path+".guaranteed-slots", int64(p.GuaranteedSlots), 0, maxQueueLimit)
	faults = faults.CheckRange(path+".queue-limit", int64(p.QueueLimit), 0, maxQueueLimit)
	return append(faults, p.Quota.CheckQuota(path+".quota")...)
}
