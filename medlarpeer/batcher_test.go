package medlarpeer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"medlarwheel/medlarpeer"
	"medlarwheel/medlarpeer/peerpb"
)

// Guards against a response that is returned for another request, and against one call per request under load. The
// first call blocks for 20 ms, so that the requests that arrive meanwhile share batches.
func TestBatcherMatchesResponsesToRequestsAndBatchesUnderLoad(t *testing.T) {
	var calls int
	gate := make(chan struct{})
	b := medlarpeer.NewBatcher(func(requests []int) ([]int, error) {
		calls++
		if calls == 1 {
			<-gate
		}
		responses := make([]int, len(requests))
		for i, n := range requests {
			responses[i] = n * 10
		}
		return responses, nil
	})
	var group sync.WaitGroup
	for n := range 200 {
		group.Go(func() {
			if got, err := b.Do(t.Context(), n); err != nil || got != n*10 {
				t.Errorf("request %d: got response %d and error %v, want %d", n, got, err, n*10)
			}
		})
		if n == 0 {
			continue
		}
	}
	time.AfterFunc(20*time.Millisecond, func() { close(gate) })
	group.Wait()
	if calls > 100 {
		t.Fatalf("%d calls for 200 concurrent requests, want at most 100", calls)
	}
}

// Guards against a list of responses that is too short being assigned to the first requests of the batch. The peer
// returns no response to a batch of one request.
func TestBatcherRejectsWrongNumberOfResponses(t *testing.T) {
	b := medlarpeer.NewBatcher(func([]int) ([]int, error) { return nil, nil })
	if _, err := b.Do(t.Context(), 1); !errors.Is(err, medlarpeer.ErrResponseCount) {
		t.Fatalf("got error %v, want ErrResponseCount", err)
	}
}

// echoPeer returns the version of the request in its response.
type echoPeer struct{ peerpb.Peer }

func (echoPeer) FetchConfig(_ context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return &peerpb.FetchConfigResponse{Delta: []byte{byte(r.After)}}, nil
}

// Guards against a peer port that accepts calls with a wrong or missing system key.
func TestServerRejectsWrongSystemKey(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := medlarpeer.NewServer(medlarpeer.ServerConfig{Key: "right-key-0123456"}, echoPeer{})
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	defer group.Wait()
	defer func() { _ = server.Stop(context.Background()) }()
	for key, accepted := range map[string]bool{"right-key-0123456": true, "wrong-key-0123456": false, "": false} {
		client := medlarpeer.NewClient(medlarpeer.ClientConfig{Key: key, Timeout: time.Second})
		ctx, cancel := client.Context(t.Context())
		response, err := client.Peer(listener.Addr().String()).FetchConfig(ctx, &peerpb.FetchConfigRequest{After: 5})
		cancel()
		client.CloseIdle()
		if (err == nil) != accepted || (accepted && response.Delta[0] != 5) {
			t.Errorf("key %q: got response %v and error %v, want accepted = %v", key, response, err, accepted)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}
