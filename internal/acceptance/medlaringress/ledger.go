package medlaringress

import "time"

// Limits bound all connections of a listener together.
type Limits struct {
	Connections int
	Bytes       int64
}

// ConnectionID identifies an open connection.
type ConnectionID uint64

// Phase is what a connection does.
type Phase int

// The phases of a connection. A running request may have had an effect.
const (
	Idle Phase = iota
	Receiving
	Running
	Responding
)

// A connection that receives or responds for longer, or that has held more byte-seconds, goes before an idle one: a caller whose
// idle connection is closed loses its next request. An ordinary request with its 40 KiB of buffers arrives within 100 ms.
const (
	stalledAfter       = time.Second
	stalledByteSeconds = 4 << 10
)

type connection struct {
	phase Phase
	since time.Time
	bytes int64
	// served is true once a request of the connection had a response.
	served bool
}

// Ledger accounts for the connections of a listener. It is not safe for concurrent use.
type Ledger struct {
	limits      Limits
	connections map[ConnectionID]*connection
	bytes       int64
	last        ConnectionID
}

// New returns a ledger without connections.
func New(l Limits) *Ledger {
	return &Ledger{limits: l, connections: map[ConnectionID]*connection{}}
}

// Open admits a new connection. It returns the connection that gives way to it, or 0. If none can, ok is false.
func (l *Ledger) Open(now time.Time) (id, evicted ConnectionID, ok bool) {
	if len(l.connections) >= l.limits.Connections {
		if evicted = l.nextToGiveWay(now, 0); evicted == 0 {
			return 0, 0, false
		}
		l.Close(evicted)
	}
	l.last++
	l.connections[l.last] = &connection{since: now}
	return l.last, evicted, true
}

// Grow admits more bytes of a connection. It returns the connections that give way to them. The connection itself does if it is
// the next to; ok is then false, as it is if none can give way. The connection is closed in both cases.
func (l *Ledger) Grow(now time.Time, id ConnectionID, bytes int64) (evicted []ConnectionID, ok bool) {
	c := l.connections[id]
	if c == nil {
		return nil, false
	}
	c.bytes += bytes
	l.bytes += bytes
	for l.bytes > l.limits.Bytes {
		next := l.nextToGiveWay(now, id)
		if next == 0 {
			l.Close(id)
			return evicted, false
		}
		l.Close(next)
		if next == id {
			return evicted, false
		}
		evicted = append(evicted, next)
	}
	return evicted, true
}

// Shrink takes bytes of a connection off that it no longer holds.
func (l *Ledger) Shrink(id ConnectionID, bytes int64) {
	if c := l.connections[id]; c != nil {
		bytes = min(bytes, c.bytes)
		c.bytes -= bytes
		l.bytes -= bytes
	}
}

// Enter notes that a connection has entered a phase. It returns false if the connection has given way before.
func (l *Ledger) Enter(now time.Time, id ConnectionID, phase Phase) bool {
	c := l.connections[id]
	if c == nil {
		return false
	}
	c.phase, c.since = phase, now
	c.served = c.served || phase == Idle
	return true
}

// Close removes a connection. It has no effect on one that has given way.
func (l *Ledger) Close(id ConnectionID) {
	if c := l.connections[id]; c != nil {
		l.bytes -= c.bytes
		delete(l.connections, id)
	}
}

// Connections and Bytes return what the ledger accounts for.
func (l *Ledger) Connections() int { return len(l.connections) }

// Bytes returns the number of bytes that all connections hold.
func (l *Ledger) Bytes() int64 { return l.bytes }

// rank orders connections by how soon they give way, first by class and then by weight.
type rank struct {
	class  int
	weight float64
}

// The classes of connections that give way, the first one last.
const (
	classRunning = iota
	classFresh
	classServed
	classStalled
	classSilent
)

func (r rank) isBefore(o rank) bool {
	return r.class > o.class || r.class == o.class && r.weight > o.weight
}

func (c *connection) rank(now time.Time) rank {
	age := now.Sub(c.since)
	byteSeconds := float64(c.bytes) * age.Seconds()
	switch {
	case c.phase == Running:
		return rank{class: classRunning}
	case c.phase == Idle && c.served:
		return rank{class: classServed, weight: age.Seconds()}
	case c.phase == Idle:
		return rank{class: classSilent, weight: age.Seconds()}
	case age > stalledAfter || byteSeconds > stalledByteSeconds:
		return rank{class: classStalled, weight: byteSeconds}
	}
	return rank{class: classFresh, weight: byteSeconds}
}

// nextToGiveWay returns the connection that gives way next, or 0 if all run requests. Of equal ones the one that asks stays.
func (l *Ledger) nextToGiveWay(now time.Time, asking ConnectionID) ConnectionID {
	var next ConnectionID
	first := rank{class: classRunning}
	for id, c := range l.connections {
		// Equal ranks go by age, so that the choice does not depend on the order of the map.
		if r := c.rank(now); r.class != classRunning && (next == 0 || r.isBefore(first) || r == first && id != asking && (id < next || next == asking)) {
			next, first = id, r
		}
	}
	return next
}
