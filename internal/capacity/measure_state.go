package capacity

import (
	"fmt"
	"runtime"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// stateWriter applies records to a state as a daemon does when it reads the log.
type stateWriter struct {
	state  *cell.State
	offset uint64
	bytes  int
}

// newStateWriter returns a writer whose state has a configuration with the
// design's zones and the given number of teams, and a claim on the first zone. It
// returns that zone and the epoch of the claim too.
func newStateWriter(teams int) (w *stateWriter, zone string, epoch uint64, err error) {
	w = &stateWriter{state: cell.New()}
	zones := manyZones(designZones, 1, 1)
	text, err := operator.Print(configFor(zones, designZones, teams-1))
	if err != nil {
		return nil, "", 0, err
	}
	zone = zones[0].name
	if err := w.write(&record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: text, Author: "capacity"}}); err != nil {
		return nil, "", 0, err
	}
	err = w.write(&record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: zone, Holder: zone + "-d0/1", Address: "192.0.2.1:7401"}})
	return w, zone, w.offset, err
}

// write applies one record.
func (w *stateWriter) write(e *record.Envelope) error {
	e.Seen = w.offset
	data, err := record.Encode(e)
	if err != nil {
		return err
	}
	w.offset++
	w.bytes += len(data)
	effect := w.state.Apply(w.offset, fmt.Sprintf("%024d", w.offset), data)
	if !effect.Valid {
		return errors.New(effect.Reason)
	}
	return nil
}

// State measures, in this process, the state that every daemon derives from the
// log, and the snapshots that preserve it beyond the retention of the log.
func (b *Bench) State() ([]Series, error) {
	teams := Series{Name: "state-teams", X: "teams with a key and a queue each"}
	for _, n := range []int{55, 110, 165, 220} {
		w, _, _, err := newStateWriter(n)
		if err != nil {
			return nil, err
		}
		teams.add(b, float64(n), map[string]float64{
			"snapshot_bytes": snapshotBytes(w.state.SnapshotShared()),
			"config_bytes":   float64(w.bytes),
		})
	}
	open, err := b.jobState("state-jobs", false)
	if err != nil {
		return nil, err
	}
	finished, err := b.jobState("state-jobs-finished", true)
	if err != nil {
		return nil, err
	}
	transfers, err := b.transferState()
	return []Series{teams, open, finished, transfers}, err
}

// transferState measures the transfer ids that a shared snapshot contains.
func (b *Bench) transferState() (Series, error) {
	s := Series{Name: "state-transfers", X: "transfers within the window of remembered ids"}
	for _, n := range []int{1000, 4000, 8000, 16000} {
		w, zone, epoch, err := newStateWriter(1)
		if err != nil {
			return s, err
		}
		other := manyZones(designZones, 1, 1)[1].name
		err = w.write(&record.Envelope{Kind: record.KindClaim, Claim: &record.Claim{Zone: other, Holder: other + "-d0/1", Address: "192.0.2.2:7401"}})
		if err != nil {
			return s, err
		}
		from, to, fromEpoch, toEpoch := zone, other, epoch, w.offset
		for i := range n {
			err := w.write(&record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{
				ID: fmt.Sprintf("%024d", i), Team: benchTeam, From: from, To: to, Amount: 1, Epoch: fromEpoch,
			}})
			if err != nil {
				return s, err
			}
			from, to, fromEpoch, toEpoch = to, from, toEpoch, fromEpoch
		}
		s.add(b, float64(n), map[string]float64{"snapshot_bytes": snapshotBytes(w.state.SnapshotShared()), "log_bytes": float64(w.bytes)})
	}
	return s, nil
}

// jobState measures the state of one zone's jobs, open or finished.
func (b *Bench) jobState(name string, finish bool) (Series, error) {
	s := Series{Name: name, X: "jobs of four tasks"}
	for _, n := range []int{500, 1000, 2000, 4000} {
		before := liveHeapBytes()
		w, zone, epoch, err := newStateWriter(1)
		if err != nil {
			return s, err
		}
		for i := range n {
			if err := w.writeJob(zone, epoch, i, finish); err != nil {
				return s, err
			}
		}
		s.add(b, float64(n), map[string]float64{
			"heap_bytes":     liveHeapBytes() - before,
			"snapshot_bytes": snapshotBytes(w.state.SnapshotZone(zone)),
			"log_bytes":      float64(w.bytes),
		})
		runtime.KeepAlive(w)
	}
	return s, nil
}

// writeJob writes the records of the job with number i, with the outcomes of its
// tasks if finish is set.
func (w *stateWriter) writeJob(zone string, epoch uint64, i int, finish bool) error {
	id := fmt.Sprintf("j-%s-%d-%020d", zone, epoch, i)
	inputs := make([][]byte, tasksPerJob)
	for n := range inputs {
		inputs[n] = []byte("sixteen bytes in")
	}
	err := w.write(&record.Envelope{Kind: record.KindJobs, Jobs: &record.Jobs{Zone: zone, Epoch: epoch, Jobs: []record.Job{{
		ID: id, Team: benchTeam, Queue: jobQueue, Command: "echo", Inputs: inputs, Idempotent: true,
		MilliCores: 1000, MemoryMB: 64, Ticket: id[2:],
	}}}})
	if err != nil || !finish {
		return err
	}
	outcomes := &record.Outcomes{Zone: zone, Epoch: epoch}
	for n := range inputs {
		outcomes.Outcomes = append(outcomes.Outcomes, record.Outcome{Job: id, Index: n, State: "done", Output: inputs[n]})
	}
	return w.write(&record.Envelope{Kind: record.KindOutcomes, Outcomes: outcomes})
}

// snapshotBytes returns the encoded size of a snapshot's parts.
func snapshotBytes(parts []*record.Snapshot) float64 {
	total := 0
	for _, part := range parts {
		data, err := record.Encode(&record.Envelope{Kind: record.KindSnapshot, Snapshot: part})
		if err == nil {
			total += len(data)
		}
	}
	return float64(total)
}

// liveHeapBytes returns the size of this process's live heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
