// Package medlarlistener serves HTTP within limits of connections and bytes that hold for all connections of a listener together.
//
// Bodies are read as streams and counted while they arrive. When a limit is met, the ledger of package medlaringress chooses the
// connections that give way. The handler is called with whole bodies only, so that a refused request has not run.
//
// # Usage
//
//	l := medlarlistener.New(listener, config)
//	server := &fasthttp.Server{Handler: l.ReadBodies(handler), ReadBufferSize: 32 << 10}
//	l.Configure(server)
//	err := server.Serve(l)
package medlarlistener
