package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address, and can become silent: it then accepts connections and forwards nothing.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silent   bool
	// conns holds the open connections of both sides.
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setSilent makes the proxy silent, or ends the silence. What came meanwhile is lost, and its connections end.
func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if silent {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *proxy) add(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.add(client)
		if p.isSilent() {
			continue
		}
		server, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.add(server)
		go p.forward(server, client)
		go p.forward(client, server)
	}
}

// forward copies until a side closes. Bytes that come while the proxy is silent are dropped, and the connection carries
// nothing further.
func (p *proxy) forward(to, from net.Conn) {
	const size = 32 << 10
	buffer := make([]byte, size)
	for {
		n, err := from.Read(buffer)
		if p.isSilent() {
			// The connection stays open until the silence ends.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
