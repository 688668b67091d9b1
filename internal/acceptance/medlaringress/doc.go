// Package medlaringress decides which connections of a listener may stay, so that all of them together stay within a number of
// connections and of bytes. It does no I/O, starts no goroutine and reads no clock.
//
// A connection that gives way is reported to the caller, which closes it. Its bytes are no longer counted from then on.
//
// # Usage
//
//	ledger := medlaringress.New(medlaringress.Limits{Connections: 500, Bytes: 30 << 20})
//	id, evicted, ok := ledger.Open(now)
//	evicted, ok = ledger.Grow(now, id, 32<<10)
//	ledger.Enter(now, id, medlaringress.Running)
//	ledger.Close(id)
package medlaringress
