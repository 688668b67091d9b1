package medlaragent

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
)

// usageLog holds the recent usage measurements.
type usageLog struct {
	lag          time.Duration
	next         time.Duration
	sequence     uint64
	random       *rand.Rand
	measurements []medlaragentapi.UsageReport
}

// maxReportableMeasurements limits the measurements that are kept in addition to those that are too recent to be reported.
const maxReportableMeasurements = 30

func newUsageLog(config Config) usageLog {
	return usageLog{lag: config.UsageLag, random: rand.New(rand.NewPCG(config.Seed, 2))}
}

func (u *usageLog) add(now time.Duration, tasks []medlaragentapi.TaskUsage) {
	slices.SortFunc(tasks, func(a, b medlaragentapi.TaskUsage) int {
		return strings.Compare(string(a.Task.ID), string(b.Task.ID))
	})
	u.sequence++
	u.measurements = append(u.measurements, medlaragentapi.UsageReport{
		MeasuredAt: medlarwheel.Duration(now), Sequence: u.sequence, Tasks: tasks,
	})
	if n := u.reportableCount(now); n > maxReportableMeasurements {
		u.measurements = slices.Clone(u.measurements[n-maxReportableMeasurements:])
	}
}

// reportableCount returns the number of measurements that have reached the lag.
func (u *usageLog) reportableCount(now time.Duration) int {
	n := 0
	for n < len(u.measurements) && u.measurements[n].MeasuredAt.Std() <= now-u.lag {
		n++
	}
	return n
}

func (u *usageLog) report(now time.Duration, fault UsageFault) medlaragentapi.UsageReport {
	n := u.reportableCount(now)
	if n == 0 {
		return medlaragentapi.UsageReport{Tasks: []medlaragentapi.TaskUsage{}}
	}
	switch fault {
	case UsageRepeat:
		return u.measurements[0]
	case UsageShuffle:
		return u.measurements[u.random.IntN(n)]
	case UsageImplausible:
		return u.implausible(u.measurements[n-1])
	default:
		return u.measurements[n-1]
	}
}

// implausible returns r with an impossible value for each task, drawn from three kinds.
func (u *usageLog) implausible(r medlaragentapi.UsageReport) medlaragentapi.UsageReport {
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
