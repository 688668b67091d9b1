package medlarproof

import "testing"

// Guards against two processes with the same listen address, of which one exits. A system of four entry instances uses eight
// addresses.
func TestFreeAddressesAreDistinct(t *testing.T) {
	const count = 1000
	var pool addressPool
	seen := map[string]int{}
	for i := range count {
		address := pool.next(t)
		if first, twice := seen[address]; twice {
			t.Errorf("address %d is %s, the same as address %d; want distinct addresses", i, address, first)
		}
		seen[address] = i
	}
}
