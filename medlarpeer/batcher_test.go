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

// Guards against answers that reach the wrong question, and against one call per question under load.
func TestBatcherMatchesResponsesToRequestsAndBatchesUnderLoad(t *testing.T) {
	var calls int
	gate := make(chan struct{})
	b := medlarpeer.NewBatcher(func(questions []int) ([]int, error) {
		calls++
		if calls == 1 {
			<-gate
		}
		answers := make([]int, len(questions))
		for i, q := range questions {
			answers[i] = q * 10
		}
		return answers, nil
	})
	var group sync.WaitGroup
	for q := range 200 {
		group.Go(func() {
			if got, err := b.Do(t.Context(), q); err != nil || got != q*10 {
				t.Errorf("question %d: got %d, %v", q, got, err)
			}
		})
		if q == 0 {
			continue
		}
	}
	time.AfterFunc(20*time.Millisecond, func() { close(gate) })
	group.Wait()
	if calls > 100 {
		t.Fatalf("%d calls for 200 questions", calls)
	}
}

// Guards against taking a short list of answers for the answers of the first questions.
func TestBatcherRejectsWrongNumberOfResponses(t *testing.T) {
	b := medlarpeer.NewBatcher(func([]int) ([]int, error) { return nil, nil })
	if _, err := b.Do(t.Context(), 1); !errors.Is(err, medlarpeer.ErrResponseCount) {
		t.Fatalf("got %v", err)
	}
}

type echoPeer struct{ peerpb.Peer }

func (echoPeer) FetchConfig(_ context.Context, r *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	return &peerpb.FetchConfigResponse{Delta: []byte{byte(r.After)}}, nil
}

// Guards against a peer port that answers a caller without the system key.
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
		answer, err := client.Peer(listener.Addr().String()).FetchConfig(ctx, &peerpb.FetchConfigRequest{After: 5})
		cancel()
		client.CloseIdle()
		if (err == nil) != accepted || (accepted && answer.Delta[0] != 5) {
			t.Errorf("key %q: got %v, %v", key, answer, err)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}
