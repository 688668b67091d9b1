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

func relay(t *testing.T) *Relay {
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

// ask sends a line and returns the time until it came back, or the error.
func ask(connection net.Conn, limit time.Duration) (time.Duration, error) {
	begin := time.Now()
	_ = connection.SetDeadline(begin.Add(limit))
	if _, err := connection.Write([]byte("line\n")); err != nil {
		return 0, err
	}
	_, err := bufio.NewReader(connection).ReadString('\n')
	return time.Since(begin), err
}

const (
	answered = 5 * time.Second        // far above the time of a working connection
	unheard  = 100 * time.Millisecond // long enough for a working connection to answer
)

func set(t *testing.T, r *Relay, f Faults) {
	t.Helper()
	if err := r.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

// Guards against a silence that closes connections or hits new ones, which would test something else than an open
// connection that goes silent.
func TestSilenceKeepsConnectionsOpen(t *testing.T) {
	r := relay(t)
	old := dial(t, r)
	if _, err := ask(old, answered); err != nil {
		t.Fatal(err)
	}
	set(t, r, Faults{Silence: SilenceExisting})
	if _, err := ask(old, unheard); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("silenced connection: %v, want no answer and no close", err)
	}
	if _, err := ask(dial(t, r), answered); err != nil {
		t.Errorf("new connection: %v", err)
	}
	set(t, r, Faults{Silence: SilenceAll})
	if _, err := ask(dial(t, r), unheard); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("new connection while all are silenced: %v, want no answer", err)
	}
	set(t, r, Faults{})
	if _, err := ask(old, answered); err != nil {
		t.Errorf("resumed connection: %v", err)
	}
}

// Guards against a cut that leaves connections open or accepts new ones, and against a relay that stays cut.
func TestCutRefusesAndCloses(t *testing.T) {
	r := relay(t)
	old := dial(t, r)
	if _, err := ask(old, answered); err != nil {
		t.Fatal(err)
	}
	set(t, r, Faults{Cut: true})
	if _, err := ask(old, answered); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection over a cut: %v, want a close", err)
	}
	if connection, err := net.Dial("tcp", r.Address()); err == nil {
		_ = connection.Close()
		t.Error("new connection over a cut was accepted")
	}
	set(t, r, Faults{})
	if _, err := ask(dial(t, r), answered); err != nil {
		t.Errorf("after the cut: %v", err)
	}
}

// Guards against a delay that does not act, or that acts in both directions.
func TestDelayActsOneWay(t *testing.T) {
	r := relay(t)
	const delay = 60 * time.Millisecond
	for _, f := range []Faults{{DelayTo: medlarwheel.Duration(delay)}, {DelayFrom: medlarwheel.Duration(delay)}} {
		set(t, r, f)
		if took, err := ask(dial(t, r), answered); err != nil || took < delay {
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
	set(t, held, Faults{DelayFrom: medlarwheel.Duration(time.Hour)})
	near := dial(t, held)
	far, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	if _, err := ask(near, unheard); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("answer held: %v, want no answer yet", err)
	}
	_ = far.SetDeadline(time.Now().Add(answered))
	if line, err := bufio.NewReader(far).ReadString('\n'); err != nil {
		t.Errorf("target heard %q, %v; want the request", line, err)
	}
}
