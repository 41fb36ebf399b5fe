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
	// relayFanOut is the largest number of daemons that read from one daemon.
	relayFanOut = 4
	// relayMaxSilence is how long ago a daemon's last heartbeat may be for
	// others to read from it.
	relayMaxSilence = time.Second
	// relayTimeoutMargin is how much longer than its wait a relayed read may
	// take.
	relayTimeoutMargin = time.Second
	// relayMaxRecords is the largest number of records requested at once.
	relayMaxRecords = 512
)

// errNotRetained means that this daemon no longer retains the requested records.
var errNotRetained = errors.New("the records are no longer retained here; read them from the log")

// peerSource reads records of the log through another daemon.
type peerSource struct {
	clients *Clients
	address string
}

// Name implements journal.Source.
func (peerSource) Name() string { return "peer" }

// Read implements journal.Source. The other daemon gives the age of its proof of
// freshness. The proof is dated that much before the request was sent, which is
// never too late.
func (s peerSource) Read(ctx context.Context, from uint64, wait time.Duration) (*journal.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeoutMargin)
	defer cancel()
	sent := time.Now()
	response, err := s.clients.To(s.address).Tail(ctx, connect.NewRequest(&peerv1.TailRequest{
		From:   from,
		WaitMs: wait.Milliseconds(),
		Limit:  relayMaxRecords,
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

// Relay selects the sources from which a daemon reads the log. The daemons of a
// region form a tree, ordered by zone and id, in which each reads from its parent.
// The region thus reads each record from the platform about once. A daemon that
// can't reach its parent reads the log directly.
type Relay struct {
	self      Identity
	log       loglist.Log
	clients   *Clients
	table     *membership.Table
	directory *membership.Directory
	// maxStaleness is the age of the freshness proof from which on the daemon
	// reads the log directly instead of through its parent.
	maxStaleness time.Duration
	// fresh returns the age of the freshness proof, as Journal.Fresh does.
	fresh func() (time.Duration, uint64, bool)
}

// NewRelay returns a relay for the given log. maxStaleness is the age of the
// freshness proof, which fresh returns, from which on the daemon reads the log
// directly.
func NewRelay(self Identity, log loglist.Log, clients *Clients, table *membership.Table, directory *membership.Directory, maxStaleness time.Duration, fresh func() (time.Duration, uint64, bool)) *Relay {
	return &Relay{self: self, log: log, clients: clients, table: table, directory: directory, maxStaleness: maxStaleness, fresh: fresh}
}

// SelectSources implements journal.SourceSelector. It returns the parent in the
// tree, then the log, then every other daemon whose heartbeats still arrive.
func (r *Relay) SelectSources() []journal.Source {
	direct := journal.LogSource{Log: r.log}
	daemons := r.readableDaemons()
	position := sort.Search(len(daemons), func(i int) bool { return !lessByZoneAndID(daemons[i], r.selfInstance()) })
	var sources []journal.Source
	if age, _, ok := r.fresh(); position > 0 && ok && age < r.maxStaleness {
		parent := daemons[(position-1)/relayFanOut]
		sources = append(sources, peerSource{clients: r.clients, address: parent.Address})
	}
	sources = append(sources, direct)
	for _, m := range r.table.Live("", relayMaxSilence) {
		if m.Instance != r.self.Instance && m.Address != "" {
			sources = append(sources, peerSource{clients: r.clients, address: r.directory.Resolve(m.Instance, m.Address)})
		}
	}
	return sources
}

// selfInstance returns this daemon in the form that the directory uses.
func (r *Relay) selfInstance() loglist.Instance {
	return loglist.Instance{ID: r.self.Instance, AvailabilityZone: r.self.AvailabilityZone}
}

// readableDaemons returns the region's other daemons that may be read from, ordered
// by zone and id. They are live according to the list of instances; those of this
// daemon's zone must also have sent a heartbeat within relayMaxSilence.
func (r *Relay) readableDaemons() []loglist.Instance {
	heard := make(map[string]bool)
	for _, m := range r.table.Live(r.self.AvailabilityZone, relayMaxSilence) {
		heard[m.Instance] = true
	}
	daemons := r.directory.Listed(func(i loglist.Instance) bool {
		if i.Role != loglist.RoleEntry || i.Region != r.self.Region || i.ID == r.self.Instance {
			return false
		}
		return i.State == loglist.StateLive && (i.AvailabilityZone != r.self.AvailabilityZone || heard[i.ID])
	})
	sort.Slice(daemons, func(i, j int) bool { return lessByZoneAndID(daemons[i], daemons[j]) })
	return daemons
}

// lessByZoneAndID orders instances by zone, then by id.
func lessByZoneAndID(a, b loglist.Instance) bool {
	if a.AvailabilityZone != b.AvailabilityZone {
		return a.AvailabilityZone < b.AvailabilityZone
	}
	return a.ID < b.ID
}
