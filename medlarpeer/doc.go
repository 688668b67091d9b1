// Package medlarpeer connects entry instances to each other: Twirp clients with timeouts, the authentication of both
// sides by the system key, and the batching of small questions to one peer.
//
// Twirp needs net/http, so the peer port uses it; every other port of the daemon uses fasthttp.
//
// # Usage
//
//	client := medlarpeer.NewClient(medlarpeer.ClientConfig{Key: key, Timeout: 200 * time.Millisecond})
//	answer, err := client.Peer("127.0.0.1:7100").Exchange(ctx, request)
//
//	server := medlarpeer.NewServer(medlarpeer.ServerConfig{Key: key}, handler)
//	go server.Serve(listener)
package medlarpeer
