package medlarproof

import (
	"net"
	"testing"
)

// Guards against two processes with the same listen address, of which one exits. A system of four entry instances uses eight
// addresses.
func TestFreeAddressesAreDistinct(t *testing.T) {
	const count = 1000
	var pool addressPool
	defer pool.close()
	seen := map[string]int{}
	for i := range count {
		address, err := pool.reserve()
		if err != nil {
			t.Fatal(err)
		}
		if first, twice := seen[address]; twice {
			t.Errorf("address %d is %s, the same as address %d; want distinct addresses", i, address, first)
		}
		seen[address] = i
	}
}

// Guards against another program that gets the address of an instance before the instance listens on it or while the instance
// restarts. If the other program is an entry instance as well, the readiness probe succeeds.
func TestReservedAddressIsNotAssignedToOthers(t *testing.T) {
	const reserved, assigned = 200, 5000
	var pool addressPool
	defer pool.close()
	own := map[string]struct{}{}
	for range reserved {
		address, err := pool.reserve()
		if err != nil {
			t.Fatal(err)
		}
		own[address] = struct{}{}
	}
	for range assigned {
		address := listenOn(t, "127.0.0.1:0")
		if _, taken := own[address]; taken {
			t.Errorf("the operating system assigned the reserved address %s to another listener", address)
		}
	}
	for address := range own {
		for range 2 {
			if got := listenOn(t, address); got != address {
				t.Errorf("listening on %s, want %s", got, address)
			}
		}
	}
}

// listenOn opens and closes a listener and returns its address.
func listenOn(t *testing.T, address string) string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
