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

// echoServer answers every line with the same line.
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
	responseTimeout   = 5 * time.Second        // far above the time of a working connection
	stallCheckTimeout = 100 * time.Millisecond // long enough for a working connection to answer
)

func setFaults(t *testing.T, r *Relay, f Faults) {
	t.Helper()
	if err := r.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// Guards against a silence that closes connections or hits new ones, which would test something else than an open
// connection that goes silent.
func TestStallKeepsConnectionsOpen(t *testing.T) {
	r := newRelay(t)
	old := dial(t, r)
	if _, err := roundTrip(old, responseTimeout); err != nil {
		t.Fatal(err)
	}
	setFaults(t, r, Faults{Stall: StallExisting})
	if _, err := roundTrip(old, stallCheckTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("silenced connection: %v, want no answer and no close", err)
	}
	if _, err := roundTrip(dial(t, r), responseTimeout); err != nil {
		t.Errorf("new connection: %v", err)
	}
	setFaults(t, r, Faults{Stall: StallAll})
	if _, err := roundTrip(dial(t, r), stallCheckTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("new connection while all are silenced: %v, want no answer", err)
	}
	setFaults(t, r, Faults{})
	if _, err := roundTrip(old, responseTimeout); err != nil {
		t.Errorf("resumed connection: %v", err)
	}
}

// Guards against a cut that leaves connections open or accepts new ones, and against a relay that stays cut.
func TestCutClosesAndRefusesConnections(t *testing.T) {
	r := newRelay(t)
	old := dial(t, r)
	if _, err := roundTrip(old, responseTimeout); err != nil {
		t.Fatal(err)
	}
	setFaults(t, r, Faults{Cut: true})
	if _, err := roundTrip(old, responseTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection over a cut: %v, want a close", err)
	}
	if connection, err := net.Dial("tcp", r.Address()); err == nil {
		_ = connection.Close()
		t.Error("new connection over a cut was accepted")
	}
	setFaults(t, r, Faults{})
	if _, err := roundTrip(dial(t, r), responseTimeout); err != nil {
		t.Errorf("after the cut: %v", err)
	}
}

// Guards against a delay that does not act, or that acts in both directions.
func TestDelayAffectsOneDirection(t *testing.T) {
	r := newRelay(t)
	const delay = 60 * time.Millisecond
	for _, f := range []Faults{{DelayToTarget: medlarwheel.Duration(delay)}, {DelayFromTarget: medlarwheel.Duration(delay)}} {
		setFaults(t, r, f)
		if took, err := roundTrip(dial(t, r), responseTimeout); err != nil || took < delay {
			t.Errorf("%+v: answer after %s, %v", f, took, err)
		}
	}
	// With the way back held, the target must still hear the request at once.
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	held, err := New("127.0.0.1:0", target.Addr().String(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	setFaults(t, held, Faults{DelayFromTarget: medlarwheel.Duration(time.Hour)})
	near := dial(t, held)
	far, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	if _, err := roundTrip(near, stallCheckTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("answer held: %v, want no answer yet", err)
	}
	_ = far.SetDeadline(time.Now().Add(responseTimeout))
	if line, err := bufio.NewReader(far).ReadString('\n'); err != nil {
		t.Errorf("target heard %q, %v; want the request", line, err)
	}
}
