package medlaraccount

import "time"

const (
	// serviceSmoothing and gapWeight are the weights of a new sample in the moving averages.
	serviceSmoothing = 1.0 / 16
	gapSmoothing     = 1.0 / 16
	// minGapSamples is the number of samples below which the drain rate is taken from the concurrency and the service time.
	minGapSamples = 8
	// maxGapAge is the age at which measured gaps are too old to say anything about the next queue.
	maxGapAge = 10 * time.Second
	// standingAfterServiceTimes and standingServices are in mean service times. A queue that is never empty adds waiting time and no
	// throughput, so its length is cut to what keeps the slots busy; a burst may use the whole queue.
	standingAfterServiceTimes = 4
	standingWaitServiceTimes  = 1
	// defaultServiceSeconds is assumed until a request has ended.
	defaultServiceSeconds = 0.1
)

// drainEstimator measures how fast requests leave the queue of a lane. Only gaps while requests wait count: the rate of a lane
// without a queue is its arrival rate and says nothing about what it could drain.
type drainEstimator struct {
	// meanService is the mean service time and gap the mean time between two grants from the queue, in seconds.
	meanService float64
	meanGap     float64
	gapSamples  int
	lastGrant   time.Time
	// gapStart is the later of the last grant and the start of the queue.
	gapStart time.Time
	// queueStart is when the queue was last empty.
	queueStart time.Time
	// retriesServedBy is the time at which all callers told to come back so far would have been served.
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

// drainRate returns the drain rate of l's queue in requests a second. It is never zero.
func (l *lane) drainRate(now time.Time) float64 {
	d := &l.drain
	service := max(d.serviceTime(), 1e-6)
	if d.gapSamples < minGapSamples || now.Sub(d.lastGrant) > maxGapAge {
		return max(l.entitlement(), float64(l.inFlight), 1) / service
	}
	// The gap that is still open counts as one sample once it exceeds the mean.
	gap := d.meanGap + max(0, now.Sub(d.gapStart).Seconds()-d.meanGap)*gapSmoothing
	return max(1/max(gap, 1e-6), l.entitlement()/service)
}

// hasStandingQueue reports whether l's queue is more than a burst because it has not been empty for several service times.
func (l *lane) hasStandingQueue(now time.Time) bool {
	return l.waiting.length > 0 && now.Sub(l.drain.queueStart) > secondsToDuration(standingAfterServiceTimes*l.drain.serviceTime())
}

// maxStandingWait bounds the expected wait in a standing queue.
func (l *lane) maxStandingWait() time.Duration {
	return secondsToDuration(standingWaitServiceTimes * l.drain.serviceTime())
}

// retryAfter returns the time after which a refused caller of l may come back: when the queue and the callers that were
// told to come back before will have been served. Without the latter all refused callers would return together.
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

// maxWait bounds computed waits, so that they cannot overflow a time.Duration.
const maxWait = time.Hour

func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
