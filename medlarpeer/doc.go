// Package medlarpeer implements the RPC transport between entry instances: Twirp clients and a server that authenticate
// calls by the system key, and a Batcher that combines small requests to one peer into one call.
//
// Twirp requires net/http, so the peer port uses it. All other ports of the daemon use fasthttp.
//
// # Usage
//
//	client := medlarpeer.NewClient(medlarpeer.ClientConfig{Key: key, Timeout: 200 * time.Millisecond})
//	ctx, cancel := client.Context(parent)
//	defer cancel()
//	response, err := client.Peer("127.0.0.1:7100").Exchange(ctx, request)
//
//	server := medlarpeer.NewServer(medlarpeer.ServerConfig{Key: key}, handler)
//	go server.Serve(listener)
package medlarpeer
