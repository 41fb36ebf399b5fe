package peer

import (
	"context"
	"sort"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/pkg/errors"
)

const (
	// relayFanOut bounds the daemons that read from one daemon.
	relayFanOut = 4
	// relayWithin is the silence after which a daemon is not read from.
	relayWithin = time.Second
	// relayTimeout bounds a relayed read beyond its wait.
	relayTimeout = time.Second
	// relayLimit bounds the records of one relayed read.
	relayLimit = 512
)

// errNotKept means that a relay no longer keeps the records asked for.
var errNotKept = errors.New("the records are no longer kept here; read them from the log")

// peerSource reads the log's records through another daemon.
type peerSource struct {
	clients *Clients
	address string
}

// Name implements journal.Source.
func (peerSource) Name() string { return "peer" }

// Read implements journal.Source. The relay's proof of freshness is no older
// than its age before the request was sent.
func (s peerSource) Read(ctx context.Context, from uint64, wait time.Duration) (*journal.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	sent := time.Now()
	response, err := s.clients.To(s.address).Tail(ctx, connect.NewRequest(&peerv1.TailRequest{
		From:   from,
		WaitMs: wait.Milliseconds(),
		Limit:  relayLimit,
	}))
	if err != nil {
		return nil, err
	}
	page := &journal.Page{End: response.Msg.End, First: response.Msg.First}
	if response.Msg.FreshAgeMs >= 0 {
		page.AsOf = sent.Add(-time.Duration(response.Msg.FreshAgeMs) * time.Millisecond)
	}
	for _, r := range response.Msg.Records {
		page.Records = append(page.Records, loglist.Record{Offset: r.Offset, ID: r.Id, Data: r.Data})
	}
	return page, nil
}

// Relay chooses where the daemon reads the log. The daemons of a region form
// a tree in order of zone and id, so that the region reads each record from
// the platform about once; whoever can't reach its parent reads for itself.
type Relay struct {
	self      Identity
	log       loglist.Log
	clients   *Clients
	table     *membership.Table
	directory *membership.Directory
	// stale is the age of freshness at which a relay is given up for the log.
	stale time.Duration
	fresh func() (time.Duration, uint64, bool)
}

// NewRelay returns a relay over the given log.
func NewRelay(self Identity, log loglist.Log, clients *Clients, table *membership.Table, directory *membership.Directory, stale time.Duration, fresh func() (time.Duration, uint64, bool)) *Relay {
	return &Relay{self: self, log: log, clients: clients, table: table, directory: directory, stale: stale, fresh: fresh}
}

// Choose implements journal.Chooser: the parent, then the log, then any other
// daemon of the zone that can still be heard.
func (r *Relay) Choose() []journal.Source {
	direct := journal.LogSource{Log: r.log}
	line := r.line()
	position := sort.Search(len(line), func(i int) bool { return !before(line[i], r.selfInstance()) })
	var sources []journal.Source
	if age, _, ok := r.fresh(); position > 0 && ok && age < r.stale {
		parent := line[(position-1)/relayFanOut]
		sources = append(sources, peerSource{clients: r.clients, address: parent.Address})
	}
	sources = append(sources, direct)
	for _, m := range r.table.Live("", relayWithin) {
		if m.Instance != r.self.Instance && m.Address != "" {
			sources = append(sources, peerSource{clients: r.clients, address: r.directory.Resolve(m.Instance, m.Address)})
		}
	}
	return sources
}

// selfInstance is this daemon as the list would name it.
func (r *Relay) selfInstance() loglist.Instance {
	return loglist.Instance{ID: r.self.Instance, AvailabilityZone: r.self.AvailabilityZone}
}

// line lists the region's other daemons that may be read from, in order.
// Those of the own zone must have been heard of late.
func (r *Relay) line() []loglist.Instance {
	heard := make(map[string]bool)
	for _, m := range r.table.Live(r.self.AvailabilityZone, relayWithin) {
		heard[m.Instance] = true
	}
	line := r.directory.Listed(func(i loglist.Instance) bool {
		if i.Role != loglist.RoleEntry || i.Region != r.self.Region || i.ID == r.self.Instance {
			return false
		}
		return i.State == loglist.StateLive && (i.AvailabilityZone != r.self.AvailabilityZone || heard[i.ID])
	})
	sort.Slice(line, func(i, j int) bool { return before(line[i], line[j]) })
	return line
}

// before orders instances by zone, then id.
func before(a, b loglist.Instance) bool {
	if a.AvailabilityZone != b.AvailabilityZone {
		return a.AvailabilityZone < b.AvailabilityZone
	}
	return a.ID < b.ID
}
