package medlarrelay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"medlarwheel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoServer starts a server that sends back all bytes that it receives, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				_, _ = io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

func newRelay(t *testing.T) *Relay {
	t.Helper()
	r, err := New("127.0.0.1:0", echoServer(t), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// roundTrip sends a line and returns the time until it came back, or the error.
func roundTrip(connection net.Conn, limit time.Duration) (time.Duration, error) {
	begin := time.Now()
	_ = connection.SetDeadline(begin.Add(limit))
	if _, err := connection.Write([]byte("line\n")); err != nil {
		return 0, err
	}
	_, err := bufio.NewReader(connection).ReadString('\n')
	return time.Since(begin), err
}

const (
	responseTimeout   = 5 * time.Second        // far above the round trip of a connection without faults
	stallCheckTimeout = 100 * time.Millisecond // enough for the round trip of a connection without faults
)

func setFaults(t *testing.T, r *Relay, f Faults) {
	t.Helper()
	if err := r.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// Guards against a stall that closes connections or that also affects new ones when only existing ones are selected: a
// test with it would then not exercise an open connection to an unresponsive peer.
func TestStallKeepsConnectionsOpen(t *testing.T) {
	r := newRelay(t)
	old := dial(t, r)
	if _, err := roundTrip(old, responseTimeout); err != nil {
		t.Fatal(err)
	}
	setFaults(t, r, Faults{Stall: StallExisting})
	if _, err := roundTrip(old, stallCheckTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("stalled connection: %v, want a timeout without a close", err)
	}
	if _, err := roundTrip(dial(t, r), responseTimeout); err != nil {
		t.Errorf("new connection while existing ones are stalled: %v", err)
	}
	setFaults(t, r, Faults{Stall: StallAll})
	if _, err := roundTrip(dial(t, r), stallCheckTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("new connection while all are stalled: %v, want a timeout", err)
	}
	setFaults(t, r, Faults{})
	if _, err := roundTrip(old, responseTimeout); err != nil {
		t.Errorf("connection after the stall ended: %v", err)
	}
}

// Guards against a cut that leaves connections open or accepts new ones, and against a relay that does not accept
// connections again after the cut was removed.
func TestCutClosesAndRefusesConnections(t *testing.T) {
	r := newRelay(t)
	old := dial(t, r)
	if _, err := roundTrip(old, responseTimeout); err != nil {
		t.Fatal(err)
	}
	setFaults(t, r, Faults{Cut: true})
	if _, err := roundTrip(old, responseTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("open connection during a cut: %v, want it closed", err)
	}
	if connection, err := net.Dial("tcp", r.Address()); err == nil {
		_ = connection.Close()
		t.Error("new connection during a cut was accepted, want it refused")
	}
	setFaults(t, r, Faults{})
	if _, err := roundTrip(dial(t, r), responseTimeout); err != nil {
		t.Errorf("new connection after the cut: %v", err)
	}
}

// Guards against a delay that has no effect, or that affects both directions although it is set for one.
func TestDelayAffectsOneDirection(t *testing.T) {
	r := newRelay(t)
	const delay = 60 * time.Millisecond
	for _, f := range []Faults{{DelayToTarget: medlarwheel.Duration(delay)}, {DelayFromTarget: medlarwheel.Duration(delay)}} {
		setFaults(t, r, f)
		if took, err := roundTrip(dial(t, r), responseTimeout); err != nil || took < delay {
			t.Errorf("%+v: response after %s, %v; want at least the delay", f, took, err)
		}
	}
	// A delay of the bytes from the target must not delay the request.
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	delayed, err := New("127.0.0.1:0", target.Addr().String(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer delayed.Close()
	setFaults(t, delayed, Faults{DelayFromTarget: medlarwheel.Duration(time.Hour)})
	client := dial(t, delayed)
	accepted, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if _, err := roundTrip(client, stallCheckTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("response with a delay of 1 h: %v, want a timeout", err)
	}
	_ = accepted.SetDeadline(time.Now().Add(responseTimeout))
	if line, err := bufio.NewReader(accepted).ReadString('\n'); err != nil {
		t.Errorf("target received %q, %v; want the request", line, err)
	}
}
