package medlarentry

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarclaim"
	"medlarwheel/medlarpeer/peerpb"
)

var errBadKeyHash = errors.New("key hash has not 16 bytes")

// pairs between the domain and the wire. Unknown values of the wire map to the zero value and are refused.
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

func voteRequestToWire(q medlarclaim.VoteRequest) *peerpb.BallotItem {
	item := &peerpb.BallotItem{
		Kind: kindToWire[q.Kind], Key: q.Key[:], Attempt: string(q.Attempt), WaitedNs: int64(q.Waited), Holder: string(q.Holder),
	}
	if !q.KeyCreatedAt.IsZero() {
		item.MintedUnixMs = q.KeyCreatedAt.UnixMilli()
	}
	return item
}

func voteRequestFromWire(item *peerpb.BallotItem) (medlarclaim.VoteRequest, error) {
	kind, ok := kindFromWire[item.Kind]
	if !ok {
		return medlarclaim.VoteRequest{}, errors.Errorf("ballot kind %d is not known", item.Kind)
	}
	key, err := keyHashFromWire(item.Key)
	if err != nil {
		return medlarclaim.VoteRequest{}, err
	}
	q := medlarclaim.VoteRequest{
		Kind: kind, Key: key, Attempt: medlarwheel.AttemptID(item.Attempt),
		Holder: medlarwheel.InstanceID(item.Holder), Waited: time.Duration(max(0, item.WaitedNs)),
	}
	if item.MintedUnixMs > 0 {
		q.KeyCreatedAt = time.UnixMilli(item.MintedUnixMs)
	}
	return q, nil
}

func keyHashFromWire(data []byte) (medlarclaim.KeyHash, error) {
	var key medlarclaim.KeyHash
	if len(data) != len(key) {
		return key, errBadKeyHash
	}
	copy(key[:], data)
	return key, nil
}

func voteResponseToWire(a medlarclaim.VoteResponse) *peerpb.VoteItem {
	return &peerpb.VoteItem{
		Answer: verdictToWire[a.Verdict], Holder: string(a.Holder), HolderAttempt: uint64(a.HolderAttempt), Completed: a.Completed,
	}
}

func voteResponseFromWire(item *peerpb.VoteItem, known medlarclaim.IncarnationVector) (medlarclaim.VoteResponse, error) {
	verdict, ok := verdictFromWire[item.Answer]
	if !ok {
		return medlarclaim.VoteResponse{}, errors.Errorf("vote answer %d is not known", item.Answer)
	}
	return medlarclaim.VoteResponse{
		Verdict: verdict, Holder: medlarwheel.InstanceID(item.Holder),
		HolderAttempt: medlarclaim.AttemptHash(item.HolderAttempt), Completed: item.Completed, KnownIncarnations: known,
	}, nil
}

func incarnationsToWire(v medlarclaim.IncarnationVector) []*peerpb.IncarnationEntry {
	entries := make([]*peerpb.IncarnationEntry, 0, len(v))
	for _, e := range v {
		entries = append(entries, &peerpb.IncarnationEntry{Instance: string(e.Instance), Incarnation: uint64(e.Incarnation)})
	}
	return entries
}

func incarnationsFromWire(entries []*peerpb.IncarnationEntry) medlarclaim.IncarnationVector {
	var v medlarclaim.IncarnationVector
	for _, e := range entries {
		v = v.WithAtLeast(medlarwheel.InstanceID(e.Instance), medlarwheel.Incarnation(e.Incarnation))
	}
	return v
}

func votePageToWire(p medlarclaim.VotePage) *peerpb.FetchVotesResponse {
	response := &peerpb.FetchVotesResponse{
		State: pageStateToWire[p.State], Incarnation: uint64(p.Incarnation), Epoch: uint64(p.Epoch),
		Offset: p.Offset, Next: p.NextOffset, More: p.More,
	}
	for i := range p.Records {
		r := &p.Records[i]
		response.Records = append(response.Records, &peerpb.VoteRecord{
			Key: r.Key[:], Attempt: uint64(r.Attempt), Holder: string(r.Holder), Completed: r.Completed, AgeNs: int64(r.Age),
		})
	}
	return response
}

func votePageFromWire(response *peerpb.FetchVotesResponse) (medlarclaim.VotePage, error) {
	state, ok := pageStateFromWire[response.State]
	if !ok {
		return medlarclaim.VotePage{}, errors.Errorf("page state %d is not known", response.State)
	}
	page := medlarclaim.VotePage{
		State: state, Incarnation: medlarwheel.Incarnation(response.Incarnation), Epoch: medlarwheel.Epoch(response.Epoch),
		Offset: response.Offset, NextOffset: response.Next, More: response.More,
	}
	for _, r := range response.Records {
		key, err := keyHashFromWire(r.Key)
		if err != nil {
			return medlarclaim.VotePage{}, err
		}
		page.Records = append(page.Records, medlarclaim.VoteRecord{
			Key: key, Attempt: medlarclaim.AttemptHash(r.Attempt), Holder: medlarwheel.InstanceID(r.Holder),
			Completed: r.Completed, Age: time.Duration(max(0, r.AgeNs)),
		})
	}
	return page, nil
}
