package medlarentry

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"medlarwheel/medlarpeer/peerpb"
)

func addSeedMessage(f *testing.F, message proto.Message) {
	data, err := proto.Marshal(message)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
}

var fuzzKey = []byte("0123456789abcdef")

// Guards against vote requests of a peer that cause a panic, are accepted with an unknown kind or a negative waiting time,
// or change when they are encoded and decoded again.
func FuzzVoteRequestFromWire(f *testing.F) {
	addSeedMessage(f, &peerpb.BallotItem{Kind: peerpb.BallotKind_BALLOT_KIND_CLAIM, Key: fuzzKey, Attempt: "a-1", Holder: "e-1", WaitedNs: 5, MintedUnixMs: 7})
	addSeedMessage(f, &peerpb.BallotItem{Kind: peerpb.BallotKind_BALLOT_KIND_SEAL, Key: fuzzKey, WaitedNs: -1, MintedUnixMs: -1})
	addSeedMessage(f, &peerpb.BallotItem{Kind: 99, Key: []byte("short")})
	f.Fuzz(func(t *testing.T, data []byte) {
		var item peerpb.BallotItem
		if proto.Unmarshal(data, &item) != nil {
			return
		}
		request, err := voteRequestFromWire(&item)
		if err != nil {
			return
		}
		if request.Kind == "" || request.Waited < 0 {
			t.Fatalf("accepted vote request %+v, want a kind and a waiting time of 0 or more", request)
		}
		if again, err := voteRequestFromWire(voteRequestToWire(request)); err != nil || again != request {
			t.Fatalf("got %+v, %v, want %+v", again, err, request)
		}
	})
}

// Guards against vote pages of a peer that cause a panic, are accepted with a negative age, lose records, or change when
// they are encoded and decoded again.
func FuzzVotePageFromWire(f *testing.F) {
	addSeedMessage(f, &peerpb.FetchVotesResponse{
		State: peerpb.VotePageState_VOTE_PAGE_STATE_COMPLETE, Incarnation: 1, Epoch: 2, Next: 4, More: true,
		Records: []*peerpb.VoteRecord{{Key: fuzzKey, Attempt: 9, Holder: "e-1", Completed: true, AgeNs: -3}},
	})
	addSeedMessage(f, &peerpb.FetchVotesResponse{State: peerpb.VotePageState_VOTE_PAGE_STATE_RECOVERING, Records: []*peerpb.VoteRecord{{}}})
	addSeedMessage(f, &peerpb.FetchVotesResponse{State: 99})
	f.Fuzz(func(t *testing.T, data []byte) {
		var response peerpb.FetchVotesResponse
		if proto.Unmarshal(data, &response) != nil {
			return
		}
		page, err := votePageFromWire(&response)
		if err != nil {
			return
		}
		if page.State == "" || len(page.Records) != len(response.Records) {
			t.Fatalf("accepted page %+v from a response with %d records, want a state and all records", page, len(response.Records))
		}
		for _, record := range page.Records {
			if record.Age < 0 {
				t.Fatalf("accepted a record with a negative age: %+v", record)
			}
		}
		if again, err := votePageFromWire(votePageToWire(page)); err != nil || !reflect.DeepEqual(again, page) {
			t.Fatalf("got %+v, %v, want %+v", again, err, page)
		}
	})
}

// Guards against digests of a peer that cause a panic, add an invalid member, or change when they are encoded and decoded
// again.
func FuzzMembersFromWire(f *testing.F) {
	addSeedMessage(f, &peerpb.ExchangeRequest{Members: []*peerpb.Member{
		{Instance: "e-1", DataCentre: "dc-1", PeerAddress: "127.0.0.1:7100", Incarnation: 1, Heartbeat: 2, Leaving: true},
		{Instance: "Bad Name", DataCentre: "dc-1", PeerAddress: "127.0.0.1:7100"}, {},
	}})
	f.Fuzz(func(t *testing.T, data []byte) {
		var request peerpb.ExchangeRequest
		if proto.Unmarshal(data, &request) != nil {
			return
		}
		members := membersFromWire(request.Members)
		if len(members) > len(request.Members) {
			t.Fatalf("decoded %d members from %d entries", len(members), len(request.Members))
		}
		for i := range members {
			if entry := entryInstance(&members[i]); len(entry.Check()) > 0 {
				t.Fatalf("accepted an invalid member: %+v", members[i])
			}
		}
		if again := membersFromWire(membersToWire(members)); !reflect.DeepEqual(again, members) {
			t.Fatalf("got %+v, want %+v", again, members)
		}
	})
}
