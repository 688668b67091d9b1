package medlarcell

import (
	"slices"
	"time"
)

// memoryReservation is memory that is kept free for a submission which an instance is about to store.
type memoryReservation struct {
	bytes int64
	until time.Time
}

// reservationTime is how long after its admission a submission is known at the latest, unless the table is slow.
const reservationTime = 3 * time.Second

// ReserveMemory keeps memory free for a submission that was admitted, unless it exceeds the limit and was not.
func (c *Cell) ReserveMemory(now time.Time, bytes int64) {
	if bytes <= 0 || c.heldAndReserved(now)+bytes > c.config.MaxHeldMemory {
		return
	}
	c.reservations = append(c.reservations, memoryReservation{bytes: bytes, until: now.Add(reservationTime)})
}

// measureMemory estimates the memory that the submissions take.
func (c *Cell) measureMemory() {
	c.heldMemory = 0
	for _, j := range c.jobs {
		c.heldMemory += j.submission.MemoryOf(j.schedule.created)
	}
}

// heldAndReserved returns the memory that the submissions take, and that is reserved for others.
func (c *Cell) heldAndReserved(now time.Time) int64 {
	c.reservations = slices.DeleteFunc(c.reservations, func(r memoryReservation) bool { return now.After(r.until) })
	total := c.heldMemory
	for _, r := range c.reservations {
		total += r.bytes
	}
	return total
}
