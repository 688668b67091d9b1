package medlaraccount

import "time"

const (
	// serviceWeight and gapWeight are the weights of a new sample in the moving averages.
	serviceWeight = 1.0 / 16
	gapWeight     = 1.0 / 16
	// minGaps is the number of samples below which the drain rate is taken from the concurrency and the service time.
	minGaps = 8
	// gapLifetime is the age at which measured gaps are too old to say anything about the next queue.
	gapLifetime = 10 * time.Second
	// standingAfter and standingServices are in mean service times. A queue that is never empty adds waiting time and no
	// throughput, so its length is cut to what keeps the slots busy; a burst may use the whole queue.
	standingAfter    = 4
	standingServices = 1
	// defaultService is assumed until a request has ended.
	defaultService = 0.1
)

// drain measures how fast requests leave the queue of a lane. Only gaps while requests wait count: the rate of a lane
// without a queue is its arrival rate and says nothing about what it could drain.
type drain struct {
	// service is the mean service time and gap the mean time between two grants from the queue, in seconds.
	service   float64
	gap       float64
	gaps      int
	lastGrant time.Time
	// reference is the later of the last grant and the start of the queue.
	reference time.Time
	// started is when the queue was last empty.
	started time.Time
	// comeback is the time at which all callers told to come back so far would have been served.
	comeback time.Time
}

func (d *drain) queueStarted(now time.Time) { d.reference, d.started = now, now }

func (d *drain) granted(now time.Time) {
	if now.Sub(d.lastGrant) > gapLifetime {
		d.gaps = 0
	}
	d.gaps = min(d.gaps+1, int(1/gapWeight))
	d.gap += (now.Sub(d.reference).Seconds() - d.gap) / float64(d.gaps)
	d.lastGrant, d.reference = now, now
}

func (d *drain) served(took time.Duration) {
	if d.service == 0 {
		d.service = took.Seconds()
		return
	}
	d.service += (took.Seconds() - d.service) * serviceWeight
}

func (d *drain) serviceTime() float64 {
	if d.service == 0 {
		return defaultService
	}
	return d.service
}

// rate returns the drain rate of l's queue in requests a second. It is never zero.
func (l *lane) rate(now time.Time) float64 {
	d := &l.drain
	service := max(d.serviceTime(), 1e-6)
	if d.gaps < minGaps || now.Sub(d.lastGrant) > gapLifetime {
		return max(l.entitled(), float64(l.inFlight), 1) / service
	}
	// The gap that is still open counts as one sample once it exceeds the mean.
	gap := d.gap + max(0, now.Sub(d.reference).Seconds()-d.gap)*gapWeight
	return max(1/max(gap, 1e-6), l.entitled()/service)
}

// standing reports whether l's queue is more than a burst because it has not been empty for several service times.
func (l *lane) standing(now time.Time) bool {
	return l.waiting.length > 0 && now.Sub(l.drain.started) > seconds(standingAfter*l.drain.serviceTime())
}

// standingWait bounds the expected wait in a standing queue.
func (l *lane) standingWait() time.Duration {
	return seconds(standingServices * l.drain.serviceTime())
}

// comeBack returns the time after which a refused caller of l may come back: when the queue and the callers that were
// told to come back before will have been served. Without the latter all refused callers would return together.
func (l *lane) comeBack(now time.Time, c *AdmissionConfig) time.Duration {
	rate := l.rate(now)
	earliest := now.Add(seconds(float64(l.waiting.length) / rate))
	if l.drain.comeback.Before(earliest) {
		l.drain.comeback = earliest
	}
	l.drain.comeback = l.drain.comeback.Add(seconds(1 / rate))
	if latest := now.Add(c.MaxRetryAfter); l.drain.comeback.After(latest) {
		l.drain.comeback = latest
	}
	return max(l.drain.comeback.Sub(now), c.MinRetryAfter, MinRetryAfter)
}

// longestWait bounds computed waits, so that they cannot overflow a time.Duration.
const longestWait = time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(min(s, longestWait.Seconds()) * float64(time.Second))
}
