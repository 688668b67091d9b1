// Package medlarclaim decides which attempt of a request key may be sent upstream, and when a refusal may say "not run".
//
// A claim group has up to three seats. Each seat votes once per request key. An attempt whose Ballot collects the votes
// of a majority of seats may be sent. Any two majorities share a seat, so at most one attempt of a key is sent. A
// refused attempt asks for a seal instead: a seat without a vote for the key fences it, and denies every later claim
// whose attempt may have arrived before the refusal was answered. A majority of fences makes "not run" true for the key.
//
// Votes are kept in memory only. A restarted or new seat votes again after it has copied the votes of its sources, see
// Recovery. A vote of an earlier incarnation must not be counted once another seat has handed its votes to the later
// one. Every Answer therefore carries the incarnations that the seat knows, and a Ballot drops votes of superseded
// incarnations. Incarnation vectors for recovery without blocking are described by J. Roger Mitchell and Vijay K. Garg,
// "A Non-blocking Recovery Algorithm for Causal Message Logging".
//
// The package does no I/O, starts no goroutine and reads no clock. A Seat, Ballot or Recovery is not safe for concurrent
// use.
//
// # Usage
//
// On the instance that holds a seat:
//
//	seat := medlarclaim.NewVoter(medlarclaim.DefaultVoterConfig(self, incarnation), now)
//	recovery := seat.Recover(sources, true)
//	for !recovery.Done(now) {
//		for _, f := range recovery.Pending() {
//			recovery.Merge(now, f.To, fetchVotes(f)) // Seat.Snapshot on the other side
//		}
//	}
//	answer := seat.Answer(now, epoch, question)
//
// On the instance that received the request:
//
//	ballot := medlarclaim.NewBallot(medlarclaim.KindClaim, seats, question, now)
//	for {
//		decision, decided := ballot.Decision()
//		if decided {
//			return decision
//		}
//		seat, q, _ := ballot.Next()
//		if answer, err := vote(seat, q); err != nil {
//			ballot.Fail(clock.Now(), seat)
//		} else {
//			ballot.Record(clock.Now(), seat, answer)
//		}
//	}
//
// An attempt that asked for a seal or a release must not be claimed again; a further try needs a new attempt id.
package medlarclaim
