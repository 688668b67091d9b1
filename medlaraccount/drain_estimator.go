package medlaraccount

import "time"

const (
	// serviceSmoothing and gapSmoothing are the weights of a new sample in the exponential moving averages.
	serviceSmoothing = 1.0 / 16
	gapSmoothing     = 1.0 / 16
	// minGapSamples is the number of samples below which the drain rate is derived from concurrency and service time.
	minGapSamples = 8
	// maxGapAge is the time since the last grant after which the measured gaps are outdated.
	maxGapAge = 10 * time.Second
	// standingAfterServiceTimes is the time without an empty queue, in mean service times, after which the queue is a
	// standing queue. standingWaitServiceTimes is the longest expected wait in it. A standing queue adds waiting time but
	// no throughput, so it is limited to the length that keeps the slots busy. A burst may use the whole queue.
	standingAfterServiceTimes = 4
	standingWaitServiceTimes  = 1
	// defaultServiceSeconds is the service time that is assumed until the first request has ended.
	defaultServiceSeconds = 0.1
)

// drainEstimator measures the rate at which requests leave the queue of a lane. It counts gaps between grants only while
// requests wait, because without a queue the rate is the arrival rate and not the rate that the lane could drain.
type drainEstimator struct {
	// meanService is the mean service time, and meanGap the mean time between two grants from the queue, in seconds.
	meanService float64
	meanGap     float64
	gapSamples  int
	lastGrant   time.Time
	// gapStart is the later of the last grant and the start of the queue.
	gapStart time.Time
	// queueStart is the time at which the queue was last empty.
	queueStart time.Time
	// retriesServedBy is the expected time by which the queue and all refused clients that return at their retry-after time
	// have been served.
	retriesServedBy time.Time
}

func (d *drainEstimator) startQueue(now time.Time) { d.gapStart, d.queueStart = now, now }

func (d *drainEstimator) recordGrant(now time.Time) {
	if now.Sub(d.lastGrant) > maxGapAge {
		d.gapSamples = 0
	}
	d.gapSamples = min(d.gapSamples+1, int(1/gapSmoothing))
	d.meanGap += (now.Sub(d.gapStart).Seconds() - d.meanGap) / float64(d.gapSamples)
	d.lastGrant, d.gapStart = now, now
}

func (d *drainEstimator) recordService(took time.Duration) {
	if d.meanService == 0 {
		d.meanService = took.Seconds()
		return
	}
	d.meanService += (took.Seconds() - d.meanService) * serviceSmoothing
}

func (d *drainEstimator) serviceTime() float64 {
	if d.meanService == 0 {
		return defaultServiceSeconds
	}
	return d.meanService
}

// drainRate returns the drain rate of l's queue in requests per second. It is never zero.
func (l *lane) drainRate(now time.Time) float64 {
	d := &l.drain
	service := max(d.serviceTime(), 1e-6)
	if d.gapSamples < minGapSamples || now.Sub(d.lastGrant) > maxGapAge {
		return max(l.entitlement(), float64(l.inFlight), 1) / service
	}
	// The current gap counts as a sample as soon as it exceeds the mean.
	gap := d.meanGap + max(0, now.Sub(d.gapStart).Seconds()-d.meanGap)*gapSmoothing
	return max(1/max(gap, 1e-6), l.entitlement()/service)
}

// hasStandingQueue reports whether l's queue has not been empty for so long that it is not the result of a burst.
func (l *lane) hasStandingQueue(now time.Time) bool {
	return l.waiting.length > 0 && now.Sub(l.drain.queueStart) > secondsToDuration(standingAfterServiceTimes*l.drain.serviceTime())
}

// maxStandingWait returns the longest expected wait in a standing queue.
func (l *lane) maxStandingWait() time.Duration {
	return secondsToDuration(standingWaitServiceTimes * l.drain.serviceTime())
}

// retryAfter returns the time after which a refused client of l should retry: when the queue and the clients that were
// refused before are expected to have been served. If the latter were not counted, all refused clients would return at the
// same time.
func (l *lane) retryAfter(now time.Time, c *AdmissionConfig) time.Duration {
	rate := l.drainRate(now)
	earliest := now.Add(secondsToDuration(float64(l.waiting.length) / rate))
	if l.drain.retriesServedBy.Before(earliest) {
		l.drain.retriesServedBy = earliest
	}
	l.drain.retriesServedBy = l.drain.retriesServedBy.Add(secondsToDuration(1 / rate))
	if latest := now.Add(c.MaxRetryAfter); l.drain.retriesServedBy.After(latest) {
		l.drain.retriesServedBy = latest
	}
	return max(l.drain.retriesServedBy.Sub(now), c.MinRetryAfter, MinRetryAfter)
}

// maxWait bounds computed waits, so that they do not overflow time.Duration.
const maxWait = time.Hour

func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
