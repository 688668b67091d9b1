package medlaragent

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
)

// usageLog keeps the measurements of the last while.
type usageLog struct {
	lag      time.Duration
	next     time.Duration
	sequence uint64
	random   *rand.Rand
	past     []medlaragentapi.UsageReport
}

// keptMeasurements bounds the measurements kept beside those that are too young to be reported.
const keptMeasurements = 30

func newUsageLog(config Config) usageLog {
	return usageLog{lag: config.UsageLag, random: rand.New(rand.NewPCG(config.Seed, 2))}
}

func (u *usageLog) add(now time.Duration, tasks []medlaragentapi.TaskUsage) {
	slices.SortFunc(tasks, func(a, b medlaragentapi.TaskUsage) int {
		return strings.Compare(string(a.Task.ID), string(b.Task.ID))
	})
	u.sequence++
	u.past = append(u.past, medlaragentapi.UsageReport{
		MeasuredAt: medlarwheel.Duration(now), Sequence: u.sequence, Tasks: tasks,
	})
	if old := u.reportable(now); old > keptMeasurements {
		u.past = slices.Clone(u.past[old-keptMeasurements:])
	}
}

// reportable returns the number of measurements that are older than the lag.
func (u *usageLog) reportable(now time.Duration) int {
	n := 0
	for n < len(u.past) && u.past[n].MeasuredAt.Std() <= now-u.lag {
		n++
	}
	return n
}

func (u *usageLog) report(now time.Duration, fault UsageFault) medlaragentapi.UsageReport {
	n := u.reportable(now)
	if n == 0 {
		return medlaragentapi.UsageReport{Tasks: []medlaragentapi.TaskUsage{}}
	}
	switch fault {
	case UsageRepeat:
		return u.past[0]
	case UsageShuffle:
		return u.past[u.random.IntN(n)]
	case UsageAbsurd:
		return u.absurd(u.past[n-1])
	default:
		return u.past[n-1]
	}
}

// absurd returns r with impossible values in one of several forms.
func (u *usageLog) absurd(r medlaragentapi.UsageReport) medlaragentapi.UsageReport {
	r.Tasks = slices.Clone(r.Tasks)
	for i := range r.Tasks {
		switch u.random.IntN(3) {
		case 0:
			r.Tasks[i].Used.CPU = -r.Tasks[i].Used.CPU - 1
		case 1:
			r.Tasks[i].Used.Memory = medlarwheel.MaxMegaBytes
		default:
			r.Tasks[i].Used.CPU *= 1_000_000
		}
	}
	return r
}
