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
	// zoneInterval is the time between heartbeats to the other daemons of the
	// same availability zone.
	zoneInterval = 250 * time.Millisecond
	// remoteInterval is the time between heartbeats from a holder to the
	// holders of other zones.
	remoteInterval = 2500 * time.Millisecond
	// heartbeatTimeout limits how long one heartbeat may take.
	heartbeatTimeout = time.Second
)

// Identity identifies a daemon to other daemons. Incarnation is different after
// every start of the same instance.
type Identity struct {
	Instance         string
	Incarnation      string
	AvailabilityZone string
	Region           string
	// Address is the address of the daemon's peer interface.
	Address string
}

// HolderName returns the name under which the daemon claims its zone,
// "instance/incarnation".
func (i Identity) HolderName() string { return i.Instance + "/" + i.Incarnation }

// TermStatus describes the term that runs in a daemon, if any, and whether the
// daemon is leaving.
type TermStatus struct {
	// Epoch is the epoch of the running term, or 0 if none runs.
	Epoch uint64
	// Generation is the ticket generation of the running term.
	Generation uint64
	// Leaving is set while the daemon shuts down.
	Leaving bool
}

// Heartbeater sends heartbeats to other daemons and processes their answers. It is
// safe for concurrent use.
type Heartbeater struct {
	self       Identity
	journal    *journal.Journal
	table      *membership.Table
	directory  *membership.Directory
	clients    *Clients
	termStatus func() TermStatus

	mu sync.Mutex
	// inFlight contains the addresses to which a heartbeat is in flight.
	inFlight map[string]bool
}

// NewHeartbeater returns a heartbeater that sends heartbeats once Run is called.
func NewHeartbeater(self Identity, j *journal.Journal, table *membership.Table, directory *membership.Directory, clients *Clients, termStatus func() TermStatus) *Heartbeater {
	return &Heartbeater{self: self, journal: j, table: table, directory: directory, clients: clients, termStatus: termStatus, inFlight: make(map[string]bool)}
}

// Run sends heartbeats to the daemons of the zone every 250 ms and, while this
// daemon is a holder, to the other holders every 2500 ms. It returns when t dies.
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
			h.heartbeatZone(t)
		case <-remote.C:
			h.heartbeatHolders(t)
		}
	}
}

// heartbeatZone sends heartbeats to the other daemons of the zone.
func (h *Heartbeater) heartbeatZone(t *tomb.Tomb) {
	others := h.directory.Listed(func(i loglist.Instance) bool {
		return i.Role == loglist.RoleEntry && i.AvailabilityZone == h.self.AvailabilityZone && i.ID != h.self.Instance
	})
	for _, other := range others {
		h.send(t, other.Address)
	}
}

// heartbeatHolders sends heartbeats to the holders of the other zones and records
// when all of them were last heard. It does nothing unless this daemon is a holder.
func (h *Heartbeater) heartbeatHolders(t *tomb.Tomb) {
	if h.termStatus().Epoch == 0 {
		return
	}
	for _, claim := range h.journal.State().Claims() {
		if claim.Zone != h.self.AvailabilityZone {
			h.send(t, h.directory.Resolve(claim.Holder, claim.Address))
		}
	}
	h.recordAllZonesHeard()
}

// recordAllZonesHeard records the earliest of the times at which the holders of
// the other configured zones were last heard. It does nothing if such a zone has no
// holder or its holder has never been heard.
func (h *Heartbeater) recordAllZonesHeard() {
	cfg, _ := h.journal.State().Config()
	if cfg == nil {
		return
	}
	earliest := time.Now()
	for _, z := range cfg.Zones {
		if z.Name == h.self.AvailabilityZone {
			continue
		}
		claim, ok := h.journal.State().Claim(z.Name)
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
	h.table.RecordAllZonesHeard(earliest)
}

// send sends a heartbeat in the background unless the previous one to the address
// is still in flight.
func (h *Heartbeater) send(t *tomb.Tomb, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[address] || !t.Alive() {
		return
	}
	h.inFlight[address] = true
	t.Go(func() error {
		defer func() {
			h.mu.Lock()
			delete(h.inFlight, address)
			h.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), heartbeatTimeout)
		defer cancel()
		if err := h.Exchange(ctx, address); err != nil {
			metrics.PeerFailures.Add(1)
		}
		return nil
	})
}

// Exchange sends one heartbeat and processes the answer. The answer is dated from
// when the request was sent, since it was composed no earlier than that.
func (h *Heartbeater) Exchange(ctx context.Context, address string) error {
	sent := time.Now()
	b := h.Compose()
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
	h.table.RecordHeartbeat(heartbeatFromWire(response.Msg, address), sent)
	h.applyLatestProof()
	return nil
}

// applyLatestProof applies the latest proof of freshness from a heartbeat to the
// journal.
func (h *Heartbeater) applyLatestProof() {
	if at, offset := h.table.LatestProof(); !at.IsZero() {
		h.journal.MarkFresh(at, offset)
	}
}

// Compose returns the heartbeat that this daemon sends now. Ages are rounded up to
// the next millisecond, so that no instant is dated too late; -1 means unknown.
func (h *Heartbeater) Compose() membership.Heartbeat {
	status := h.termStatus()
	b := membership.Heartbeat{
		Instance:         h.self.Instance,
		Incarnation:      h.self.Incarnation,
		AvailabilityZone: h.self.AvailabilityZone,
		Address:          h.self.Address,
		Applied:          h.journal.State().Applied(),
		FreshAgeMS:       -1,
		AllZonesAgeMS:    -1,
		Leaving:          status.Leaving,
	}
	if age, offset, ok := h.journal.Fresh(); ok {
		b.FreshAgeMS, b.FreshOffset = age.Milliseconds()+1, offset
	}
	if at := h.table.AllZonesHeard(); !at.IsZero() {
		b.AllZonesAgeMS = time.Since(at).Milliseconds() + 1
	}
	if c := h.claim(status); c != nil {
		b.Claims = []*peerv1.Claim{c}
	}
	return b
}

// claim returns the zone's current claim and when its holder was last heard, or nil
// if the zone has no holder.
func (h *Heartbeater) claim(status TermStatus) *peerv1.Claim {
	current, ok := h.journal.State().Claim(h.self.AvailabilityZone)
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
	if status.Epoch == current.Epoch {
		c.HeardAgeMs, c.Generation = 0, status.Generation
		return c
	}
	if heard, generation, ok := h.table.Holder(current.Zone, current.Epoch); ok {
		c.HeardAgeMs, c.Generation = time.Since(heard).Milliseconds()+1, generation
	}
	return c
}

// heartbeatFromWire converts the response to a heartbeat that was sent to address.
func heartbeatFromWire(m *peerv1.HeartbeatResponse, address string) membership.Heartbeat {
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
