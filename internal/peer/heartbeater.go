package peer

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/metrics"
	"gopkg.in/tomb.v2"
)

const (
	// zoneInterval is the time between heartbeats inside an availability zone.
	zoneInterval = 250 * time.Millisecond
	// remoteInterval is the time between heartbeats of holders of different
	// zones.
	remoteInterval = 2500 * time.Millisecond
	// beatTimeout bounds one heartbeat.
	beatTimeout = time.Second
)

// Identity is what a daemon tells others about itself.
type Identity struct {
	Instance         string
	Incarnation      string
	AvailabilityZone string
	Region           string
	// Address is the address of the daemon's peer interface.
	Address string
}

// HolderName is the name under which the daemon claims a zone.
func (i Identity) HolderName() string { return i.Instance + "/" + i.Incarnation }

// TermStatus is the daemon's part in its zone at present.
type TermStatus struct {
	// Epoch is that of the term that runs here; 0 if none does.
	Epoch      uint64
	Generation uint64
	Leaving    bool
}

// Heartbeater sends heartbeats and composes the daemon's own. It is safe for
// concurrent use.
type Heartbeater struct {
	self      Identity
	journal   *journal.Journal
	table     *membership.Table
	directory *membership.Directory
	clients   *Clients
	standing  func() TermStatus

	mu     sync.Mutex
	flying map[string]bool
}

// NewHeartbeater returns a heartbeater that beats once Run is called.
func NewHeartbeater(self Identity, j *journal.Journal, table *membership.Table, directory *membership.Directory, clients *Clients, standing func() TermStatus) *Heartbeater {
	return &Heartbeater{self: self, journal: j, table: table, directory: directory, clients: clients, standing: standing, flying: make(map[string]bool)}
}

// Run sends heartbeats until t dies.
func (h *Heartbeater) Run(t *tomb.Tomb) error {
	zone := time.NewTicker(zoneInterval)
	defer zone.Stop()
	remote := time.NewTicker(remoteInterval)
	defer remote.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-zone.C:
			h.beatZone(t)
		case <-remote.C:
			h.beatHolders(t)
		}
	}
}

// beatZone sends heartbeats to the other daemons of the zone.
func (h *Heartbeater) beatZone(t *tomb.Tomb) {
	others := h.directory.Listed(func(i loglist.Instance) bool {
		return i.Role == loglist.RoleEntry && i.AvailabilityZone == h.self.AvailabilityZone && i.ID != h.self.Instance
	})
	for _, other := range others {
		h.send(t, other.Address)
	}
}

// beatHolders sends heartbeats to the holders of the other zones, if this
// daemon is a holder itself, and notes when all of them had been heard.
func (h *Heartbeater) beatHolders(t *tomb.Tomb) {
	if h.standing().Epoch == 0 {
		return
	}
	for _, claim := range h.journal.State().Claims() {
		if claim.Zone != h.self.AvailabilityZone {
			h.send(t, h.directory.Resolve(claim.Holder, claim.Address))
		}
	}
	h.noteAllZones()
}

// noteAllZones records the instant by which every other configured zone's
// holder had been heard.
func (h *Heartbeater) noteAllZones() {
	cfg, _ := h.journal.State().Config()
	if cfg == nil {
		return
	}
	earliest := time.Now()
	for _, z := range cfg.Zones {
		if z.Name == h.self.AvailabilityZone {
			continue
		}
		claim, ok := h.journal.State().Epoch(z.Name)
		if !ok {
			return
		}
		heard, _, ok := h.table.Holder(z.Name, claim.Epoch)
		if !ok {
			return
		}
		if heard.Before(earliest) {
			earliest = heard
		}
	}
	h.table.SetAllZones(earliest)
}

// send sends one heartbeat unless the last one to the address is under way.
func (h *Heartbeater) send(t *tomb.Tomb, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flying[address] || !t.Alive() {
		return
	}
	h.flying[address] = true
	t.Go(func() error {
		defer func() {
			h.mu.Lock()
			delete(h.flying, address)
			h.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), beatTimeout)
		defer cancel()
		if err := h.Exchange(ctx, address); err != nil {
			metrics.PeerFailures.Add(1)
		}
		return nil
	})
}

// Exchange sends one heartbeat and takes in the answer. What the answer says
// was true no earlier than the request was sent.
func (h *Heartbeater) Exchange(ctx context.Context, address string) error {
	sent := time.Now()
	b := h.Beat()
	response, err := h.clients.To(address).Heartbeat(ctx, connect.NewRequest(&peerv1.HeartbeatRequest{
		Instance:         b.Instance,
		Incarnation:      b.Incarnation,
		AvailabilityZone: b.AvailabilityZone,
		Address:          b.Address,
		Applied:          b.Applied,
		FreshAgeMs:       b.FreshAgeMS,
		FreshOffset:      b.FreshOffset,
		Leaving:          b.Leaving,
		Claims:           b.Claims,
		AllZonesAgeMs:    b.AllZonesAgeMS,
	}))
	if err != nil {
		return err
	}
	h.table.RecordHeartbeat(beatOf(response.Msg, address), sent)
	h.takeProof()
	return nil
}

// takeProof applies the latest proof of freshness heard to the journal.
func (h *Heartbeater) takeProof() {
	if at, offset := h.table.Proof(); !at.IsZero() {
		h.journal.MarkFresh(at, offset)
	}
}

// Beat composes the daemon's heartbeat.
func (h *Heartbeater) Beat() membership.Heartbeat {
	standing := h.standing()
	b := membership.Heartbeat{
		Instance:         h.self.Instance,
		Incarnation:      h.self.Incarnation,
		AvailabilityZone: h.self.AvailabilityZone,
		Address:          h.self.Address,
		Applied:          h.journal.State().Applied(),
		FreshAgeMS:       -1,
		AllZonesAgeMS:    -1,
		Leaving:          standing.Leaving,
	}
	if age, offset, ok := h.journal.Fresh(); ok {
		b.FreshAgeMS, b.FreshOffset = age.Milliseconds()+1, offset
	}
	if at := h.table.AllZones(); !at.IsZero() {
		b.AllZonesAgeMS = time.Since(at).Milliseconds() + 1
	}
	if c := h.claim(standing); c != nil {
		b.Claims = []*peerv1.Claim{c}
	}
	return b
}

// claim says who holds the zone and when that daemon was last heard.
func (h *Heartbeater) claim(standing TermStatus) *peerv1.Claim {
	current, ok := h.journal.State().Epoch(h.self.AvailabilityZone)
	if !ok {
		return nil
	}
	c := &peerv1.Claim{
		AvailabilityZone: current.Zone,
		Epoch:            current.Epoch,
		Holder:           current.Holder,
		Address:          current.Address,
		HeardAgeMs:       -1,
	}
	if standing.Epoch == current.Epoch {
		c.HeardAgeMs, c.Generation = 0, standing.Generation
		return c
	}
	if heard, generation, ok := h.table.Holder(current.Zone, current.Epoch); ok {
		c.HeardAgeMs, c.Generation = time.Since(heard).Milliseconds()+1, generation
	}
	return c
}

// beatOf converts a heartbeat response.
func beatOf(m *peerv1.HeartbeatResponse, address string) membership.Heartbeat {
	return membership.Heartbeat{
		Instance:         m.Instance,
		Incarnation:      m.Incarnation,
		AvailabilityZone: m.AvailabilityZone,
		Address:          address,
		Applied:          m.Applied,
		FreshAgeMS:       m.FreshAgeMs,
		FreshOffset:      m.FreshOffset,
		Leaving:          m.Leaving,
		AllZonesAgeMS:    m.AllZonesAgeMs,
		Claims:           m.Claims,
	}
}
