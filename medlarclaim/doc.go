// Package medlarclaim decides which attempt of a request key may be sent upstream, and when a refusal may say "not run".
//
// A claim group has up to three voters. Each voter votes for at most one attempt of a request key. An attempt whose
// Ballot collects the votes of a majority may be sent. Any two majorities share a voter, so at most one attempt of a key
// is sent. An attempt that is refused asks for a seal instead: a voter without a vote for the key fences it, and denies
// every later claim whose attempt may have arrived before the refusal was sent. A majority of fences makes "not run" true
// for the key.
//
// Votes are kept in memory only. A restarted or new voter votes only after it has copied the votes of its sources, see
// Recovery. A vote of an earlier incarnation must not be counted once another voter has returned its own votes to the
// later incarnation. Every VoteResponse therefore carries the incarnations that the voter knows, and a Ballot drops votes
// of superseded incarnations. Incarnation vectors for recovery without blocking are described by J. Roger Mitchell and
// Vijay K. Garg, "A Non-blocking Recovery Algorithm for Causal Message Logging".
//
// The package does no I/O, starts no goroutine and reads no clock. A Voter, Ballot or Recovery is not safe for concurrent
// use.
//
// # Usage
//
// On an instance of the claim group:
//
//	voter := medlarclaim.NewVoter(medlarclaim.DefaultVoterConfig(self, incarnation), now)
//	recovery := voter.StartRecovery(sources, true)
//	for !recovery.TryFinish(now) {
//		for _, f := range recovery.PendingFetches() {
//			recovery.HandlePage(now, f.To, fetchVotes(f)) // calls Voter.ReadVotes on the source
//		}
//	}
//	response := voter.Handle(now, epoch, request)
//
// On the instance that received the client's request:
//
//	ballot := medlarclaim.NewBallot(medlarclaim.KindClaim, voters, request, now)
//	for {
//		decision, decided := ballot.Decision()
//		if decided {
//			return decision
//		}
//		voter, request, _ := ballot.NextRequest()
//		if response, err := send(voter, request); err != nil {
//			ballot.HandleFailure(clock.Now(), voter)
//		} else {
//			ballot.HandleResponse(clock.Now(), voter, response)
//		}
//	}
//
// An attempt that asked for a seal or a release must not be claimed again; a further try needs a new attempt id.
package medlarclaim
