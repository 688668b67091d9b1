package medlarentry

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarclaim"
	"medlarwheel/medlarpeer/peerpb"
)

// These maps translate enum values to and from the wire. Unknown wire values are rejected.
var (
	kindToWire = map[medlarclaim.BallotKind]peerpb.BallotKind{
		medlarclaim.KindClaim:    peerpb.BallotKind_BALLOT_KIND_CLAIM,
		medlarclaim.KindSeal:     peerpb.BallotKind_BALLOT_KIND_SEAL,
		medlarclaim.KindComplete: peerpb.BallotKind_BALLOT_KIND_COMPLETE,
		medlarclaim.KindRelease:  peerpb.BallotKind_BALLOT_KIND_RELEASE,
	}
	verdictToWire = map[medlarclaim.Verdict]peerpb.VoteAnswer{
		medlarclaim.VerdictGranted:     peerpb.VoteAnswer_VOTE_ANSWER_GRANTED,
		medlarclaim.VerdictHeld:        peerpb.VoteAnswer_VOTE_ANSWER_HELD,
		medlarclaim.VerdictSealed:      peerpb.VoteAnswer_VOTE_ANSWER_SEALED,
		medlarclaim.VerdictStaleEpoch:  peerpb.VoteAnswer_VOTE_ANSWER_STALE_EPOCH,
		medlarclaim.VerdictRecovering:  peerpb.VoteAnswer_VOTE_ANSWER_RECOVERING,
		medlarclaim.VerdictMemoryFull:  peerpb.VoteAnswer_VOTE_ANSWER_FULL,
		medlarclaim.VerdictQuarantined: peerpb.VoteAnswer_VOTE_ANSWER_QUARANTINED,
	}
	pageStateToWire = map[medlarclaim.VotePageState]peerpb.VotePageState{
		medlarclaim.VotePageComplete:   peerpb.VotePageState_VOTE_PAGE_STATE_COMPLETE,
		medlarclaim.VotePageRecovering: peerpb.VotePageState_VOTE_PAGE_STATE_RECOVERING,
		medlarclaim.VotePageIncomplete: peerpb.VotePageState_VOTE_PAGE_STATE_INCOMPLETE,
	}
	kindFromWire      = invert(kindToWire)
	verdictFromWire   = invert(verdictToWire)
	pageStateFromWire = invert(pageStateToWire)
)

func invert[K, V comparable](m map[K]V) map[V]K {
	inverted := make(map[V]K, len(m))
	for k, v := range m {
		inverted[v] = k
	}
	return inverted
}

func voteRequestToWire(request medlarclaim.VoteRequest) *peerpb.BallotItem {
	item := &peerpb.BallotItem{
		Kind: kindToWire[request.Kind], Key: request.Key[:], Attempt: string(request.Attempt), WaitedNs: int64(request.Waited), Holder: string(request.Holder),
	}
	if !request.KeyCreatedAt.IsZero() {
		item.MintedUnixMs = request.KeyCreatedAt.UnixMilli()
	}
	return item
}

func voteRequestFromWire(item *peerpb.BallotItem) (medlarclaim.VoteRequest, error) {
	kind, ok := kindFromWire[item.Kind]
	if !ok {
		return medlarclaim.VoteRequest{}, errors.Errorf("unknown ballot kind %d in vote request", item.Kind)
	}
	key, err := keyHashFromWire(item.Key)
	if err != nil {
		return medlarclaim.VoteRequest{}, err
	}
	request := medlarclaim.VoteRequest{
		Kind: kind, Key: key, Attempt: medlarwheel.AttemptID(item.Attempt),
		Holder: medlarwheel.InstanceID(item.Holder), Waited: time.Duration(max(0, item.WaitedNs)),
	}
	if item.MintedUnixMs > 0 {
		request.KeyCreatedAt = time.UnixMilli(item.MintedUnixMs)
	}
	return request, nil
}

func keyHashFromWire(data []byte) (medlarclaim.KeyHash, error) {
	var key medlarclaim.KeyHash
	if len(data) != len(key) {
		return key, errors.Errorf("key hash has %d bytes, want %d", len(data), len(key))
	}
	copy(key[:], data)
	return key, nil
}

func voteResponseToWire(response medlarclaim.VoteResponse) *peerpb.VoteItem {
	return &peerpb.VoteItem{
		Answer: verdictToWire[response.Verdict], Holder: string(response.Holder), HolderAttempt: uint64(response.HolderAttempt), Completed: response.Completed,
	}
}

func voteResponseFromWire(item *peerpb.VoteItem, known medlarclaim.IncarnationVector) (medlarclaim.VoteResponse, error) {
	verdict, ok := verdictFromWire[item.Answer]
	if !ok {
		return medlarclaim.VoteResponse{}, errors.Errorf("unknown verdict %d in vote response", item.Answer)
	}
	return medlarclaim.VoteResponse{
		Verdict: verdict, Holder: medlarwheel.InstanceID(item.Holder),
		HolderAttempt: medlarclaim.AttemptHash(item.HolderAttempt), Completed: item.Completed, KnownIncarnations: known,
	}, nil
}

func incarnationsToWire(vector medlarclaim.IncarnationVector) []*peerpb.IncarnationEntry {
	entries := make([]*peerpb.IncarnationEntry, 0, len(vector))
	for _, e := range vector {
		entries = append(entries, &peerpb.IncarnationEntry{Instance: string(e.Instance), Incarnation: uint64(e.Incarnation)})
	}
	return entries
}

func incarnationsFromWire(entries []*peerpb.IncarnationEntry) medlarclaim.IncarnationVector {
	var vector medlarclaim.IncarnationVector
	for _, e := range entries {
		vector = vector.WithAtLeast(medlarwheel.InstanceID(e.Instance), medlarwheel.Incarnation(e.Incarnation))
	}
	return vector
}

func votePageToWire(page medlarclaim.VotePage) *peerpb.FetchVotesResponse {
	response := &peerpb.FetchVotesResponse{
		State: pageStateToWire[page.State], Incarnation: uint64(page.Incarnation), Epoch: uint64(page.Epoch),
		Offset: page.Offset, Next: page.NextOffset, More: page.More,
	}
	for i := range page.Records {
		vote := &page.Records[i]
		response.Records = append(response.Records, &peerpb.VoteRecord{
			Key: vote.Key[:], Attempt: uint64(vote.Attempt), Holder: string(vote.Holder), Completed: vote.Completed, AgeNs: int64(vote.Age),
		})
	}
	return response
}

func votePageFromWire(response *peerpb.FetchVotesResponse) (medlarclaim.VotePage, error) {
	state, ok := pageStateFromWire[response.State]
	if !ok {
		return medlarclaim.VotePage{}, errors.Errorf("unknown state %d of vote page", response.State)
	}
	page := medlarclaim.VotePage{
		State: state, Incarnation: medlarwheel.Incarnation(response.Incarnation), Epoch: medlarwheel.Epoch(response.Epoch),
		Offset: response.Offset, NextOffset: response.Next, More: response.More,
	}
	for _, vote := range response.Records {
		key, err := keyHashFromWire(vote.Key)
		if err != nil {
			return medlarclaim.VotePage{}, err
		}
		page.Records = append(page.Records, medlarclaim.VoteRecord{
			Key: key, Attempt: medlarclaim.AttemptHash(vote.Attempt), Holder: medlarwheel.InstanceID(vote.Holder),
			Completed: vote.Completed, Age: time.Duration(max(0, vote.AgeNs)),
		})
	}
	return page, nil
}
