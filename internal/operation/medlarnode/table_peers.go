package medlarnode

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peerAskInterval is the interval at which an instance with waiting requests asks its peers about the table.
	peerAskInterval = 250 * time.Millisecond
	// peersAskedAtOnce is the number of instances that are asked at once, besides the owner of the cell. One of them is the last that
	// has answered: it shows that this instance is not cut off from all others.
	peersAskedAtOnce = 3
	// maxPeerReportAge is the age up to which an answer counts.
	maxPeerReportAge = 600 * time.Millisecond
)

// tablePeers is what this instance knows about the peers that the table responds to. The zero value knows none.
type tablePeers struct {
	mu      sync.Mutex
	reports map[string]tableReport
	// addresses are those that the owner has returned last, and next is the position of the next one that is asked.
	addresses []string
	next      int
	// answered is the last address that has answered.
	answered string
}

// tableReport is what was last learnt about a peer.
type tableReport struct {
	at                 time.Time
	answered, reaching bool
}

// observe records whether a peer has answered and whether the table responds to it.
func (p *tablePeers) observe(address string, now time.Time, answered, reaching bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = map[string]tableReport{}
	}
	for a, r := range p.reports {
		if now.Sub(r.at) > maxPeerReportAge {
			delete(p.reports, a)
		}
	}
	if answered {
		p.answered = address
	}
	p.reports[address] = tableReport{at: now, answered: answered, reaching: reaching}
}

// count returns how many peers were asked recently, how many have answered, and how many the table responds to.
func (p *tablePeers) count(now time.Time) (asked, answered, reaching int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.reports {
		if now.Sub(r.at) > maxPeerReportAge {
			continue
		}
		asked++
		if r.answered {
			answered++
		}
		if r.reaching {
			reaching++
		}
	}
	return asked, answered, reaching
}

// choose returns the peer that is asked to store the row with the given key: one of those that the table responds to, or the
// owner if nothing is known about it, or "".
func (p *tablePeers) choose(owner, key string, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reaching []string
	ownerKnown := owner == ""
	for address, r := range p.reports {
		if now.Sub(r.at) > maxPeerReportAge {
			continue
		}
		if r.reaching {
			reaching = append(reaching, address)
		}
		ownerKnown = ownerKnown || address == owner
	}
	if len(reaching) > 0 {
		slices.Sort(reaching)
		return reaching[xxhash.Sum64String(key)%uint64(len(reaching))]
	}
	if ownerKnown {
		return ""
	}
	return owner
}

// nextAddresses returns the addresses that are asked next: the owner's and some of the others in turn.
func (p *tablePeers) nextAddresses(owner, self string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []string
	for _, address := range []string{owner, p.answered} {
		if address != "" && !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	for range p.addresses {
		if len(chosen) > peersAskedAtOnce {
			break
		}
		address := p.addresses[p.next%len(p.addresses)]
		p.next++
		if address != self && !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// setAddresses replaces the list of instances. They are asked in an order that differs from instance to instance and mixes data
// centres, since those that are cut off together often have successive addresses.
func (p *tablePeers) setAddresses(addresses []string, self string) {
	position := func(address string) uint64 { return xxhash.Sum64String(self + " " + address) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(position(a), position(b)) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
}

// isEmpty reports whether no list of instances is known.
func (p *tablePeers) isEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.addresses) == 0
}

// askPeers asks some peers whether the table responds to them, and reports whether it does to one, or else whether this instance is
// cut off from most of them.
func (n *Node) askPeers() (reached, cutOff bool) {
	if n.outage.peers.isEmpty() {
		n.outage.peers.setAddresses(n.registeredAddresses(), n.config.Settings.Peer)
	}
	var group sync.WaitGroup
	for _, address := range n.outage.peers.nextAddresses(n.ownerAddress(), n.config.Settings.Peer) {
		group.Go(func() {
			response, err := n.outage.tableClients.clientFor(address).call(address, peerPathTable, peerRequest{})
			n.outage.peers.observe(address, n.clock.Now(), err == nil, response.TableReachable)
			if len(response.Instances) > 0 {
				n.outage.peers.setAddresses(response.Instances, n.config.Settings.Peer)
			}
		})
	}
	group.Wait()
	n.outage.mu.Lock()
	defer n.outage.mu.Unlock()
	situation, _ := n.situation(n.clock.Now())
	return situation.PeersReaching > 0, situation.IsCutOff()
}

// tableReport returns whether the table responds to this instance, and if it owns the cell, the addresses of all instances.
func (n *Node) tableReport() (reachable bool, instances []string) {
	if n.owner.Load() != nil {
		instances = n.registeredAddresses()
	}
	return !n.stopping.Load() && !n.health.HasFailed() && n.clock.Now().Sub(n.health.LastSuccess()) < maxReachableTableAge, instances
}

// registeredAddresses returns the addresses in the local copy of the registry.
func (n *Node) registeredAddresses() []string {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	if n.registry.instances == nil {
		return nil
	}
	var addresses []string
	for _, i := range n.registry.instances.Live(n.registry.lastReadAt) {
		addresses = append(addresses, i.Address)
	}
	return addresses
}
