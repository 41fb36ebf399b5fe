package cell

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bluebellstile/bluebellstile/internal/record"
	"github.com/bluebellstile/bluebellstile/operator"
)

// benchCell returns a state with the given numbers of zones and teams. Zone
// z00 is claimed with epoch 2. The benchmarks use 19 zones and 220 teams, the
// size that the system is designed for.
func benchCell(b *testing.B, zones, teams int) *State {
	s := New()
	apply(b, s, "config", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: benchConfig(b, zones, teams)}})
	apply(b, s, "claim", claimRecord("z00", "holder", 0))
	return s
}

func benchConfig(b *testing.B, zones, teams int) string {
	var z []operator.Zone
	for i := range zones {
		z = append(z, operator.Zone{Name: fmt.Sprintf("z%02d", i), Region: "region"})
	}
	limits := map[string]int64{}
	for i := range teams {
		limits[fmt.Sprintf("team-%03d", i)] = 300
	}
	return testConfig(b, z, limits)
}

func benchJob(i, tasks int) record.Job {
	inputs := make([][]byte, tasks)
	for k := range inputs {
		inputs[k] = make([]byte, 100)
	}
	return record.Job{ID: fmt.Sprintf("job-%08d", i), Team: "team-001", Queue: "batch", Command: "cost", Inputs: inputs, Ticket: fmt.Sprintf("ticket-%08d", i)}
}

// BenchmarkApply measures decoding and applying one record of each kind.
func BenchmarkApply(b *testing.B) {
	text := benchConfig(b, 19, 220)
	kinds := []struct {
		name string
		make func(s *State, i int) *record.Envelope
	}{
		{"config", func(s *State, _ int) *record.Envelope {
			_, version := s.Config()
			return &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: text, Expected: version}}
		}},
		{"claim", func(s *State, _ int) *record.Envelope {
			claim, _ := s.Claim("z01")
			return claimRecord("z01", "holder", claim.Epoch)
		}},
		{"roster of 8", func(_ *State, i int) *record.Envelope {
			r := &record.Roster{Zone: "z00", Epoch: 2}
			for k := range 8 {
				r.Endpoints = append(r.Endpoints, fmt.Sprintf("endpoint-%05d", (8*i+k)%260))
			}
			return &record.Envelope{Kind: record.KindRoster, Roster: r}
		}},
		{"transfer", func(_ *State, i int) *record.Envelope {
			return &record.Envelope{Kind: record.KindTransfer, Transfer: &record.Transfer{
				ID: fmt.Sprint("x", i), Team: fmt.Sprintf("team-%03d", i%220), From: "z00", To: "z01", Amount: 1, Epoch: 2,
			}}
		}},
		{"jobs of 8", func(_ *State, i int) *record.Envelope {
			j := &record.Jobs{Zone: "z00", Epoch: 2}
			for k := range 8 {
				j.Jobs = append(j.Jobs, benchJob((8*i+k)%4096, 1))
			}
			return &record.Envelope{Kind: record.KindJobs, Jobs: j}
		}},
		{"report of 4 KB", func(_ *State, _ int) *record.Envelope {
			return &record.Envelope{Kind: record.KindReport, Report: &record.Report{Zone: "z00", Epoch: 2, Series: make([]byte, 4<<10)}}
		}},
	}
	for _, kind := range kinds {
		b.Run(kind.name, func(b *testing.B) {
			s := benchCell(b, 19, 220)
			valid := 0
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				env := kind.make(s, i)
				env.Seen = s.Applied()
				data := encode(b, env)
				id := fmt.Sprintf("%024d", i)
				b.StartTimer()
				if s.Apply(s.Applied()+1, id, data).Valid {
					valid++
				}
			}
			b.ReportMetric(float64(valid)/float64(b.N), "valid/op")
		})
	}
}

// BenchmarkApplyOutcomes measures applying the record with the outcomes of a
// job of 8 tasks.
func BenchmarkApplyOutcomes(b *testing.B) {
	s := benchCell(b, 19, 220)
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		job := benchJob(i, 8)
		apply(b, s, fmt.Sprint("j", i), &record.Envelope{Kind: record.KindJobs, Jobs: &record.Jobs{Zone: "z00", Epoch: 2, Jobs: []record.Job{job}}})
		o := &record.Outcomes{Zone: "z00", Epoch: 2}
		for k := range 8 {
			o.Outcomes = append(o.Outcomes, record.Outcome{Job: job.ID, Index: k, State: "done", Output: make([]byte, 100)})
		}
		data := encode(b, &record.Envelope{Kind: record.KindOutcomes, Seen: s.Applied(), Outcomes: o})
		b.StartTimer()
		if effect := s.Apply(s.Applied()+1, fmt.Sprint("o", i), data); !effect.Valid {
			b.Fatal(effect.Reason)
		}
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkStateBytes measures the live heap per item for four sizes of each
// part of the state. Run it with -benchtime 1x.
func BenchmarkStateBytes(b *testing.B) {
	parts := []struct {
		name  string
		sizes []int
		fill  func(s *State, n int)
	}{
		{"open job of 1 task", []int{1000, 2000, 4000, 8000}, func(s *State, n int) {
			for i := range n {
				apply(b, s, "", &record.Envelope{Kind: record.KindJobs, Jobs: &record.Jobs{Zone: "z00", Epoch: 2, Jobs: []record.Job{benchJob(i, 1)}}})
			}
		}},
		{"finished job of 1 task", []int{128, 256, 512, 1024}, func(s *State, n int) {
			for i := range n {
				job := benchJob(i, 1)
				apply(b, s, "", &record.Envelope{Kind: record.KindJobs, Jobs: &record.Jobs{Zone: "z00", Epoch: 2, Jobs: []record.Job{job}}})
				apply(b, s, "", &record.Envelope{Kind: record.KindOutcomes, Outcomes: &record.Outcomes{Zone: "z00", Epoch: 2, Outcomes: []record.Outcome{{Job: job.ID, State: "done", Output: make([]byte, 100)}}}})
			}
		}},
		{"roster entry", []int{250, 500, 1000, 2000}, func(s *State, n int) {
			for i := range n {
				apply(b, s, "", &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "z00", Epoch: 2, Endpoints: []string{fmt.Sprintf("endpoint-%05d", i)}}})
			}
		}},
		{"recent id", []int{1000, 2000, 4000, 8000}, func(s *State, n int) {
			for i := range n {
				apply(b, s, fmt.Sprintf("%024d", i), &record.Envelope{Kind: record.KindReport, Report: &record.Report{Zone: "z00", Epoch: 2}})
			}
		}},
		{"team over 19 zones", []int{55, 110, 220, 440}, func(s *State, n int) {
			apply(b, s, "", &record.Envelope{Kind: record.KindConfig, Config: &record.Config{Text: benchConfig(b, 19, n), Expected: 1}})
		}},
	}
	for _, part := range parts {
		for _, n := range part.sizes {
			b.Run(fmt.Sprintf("%s/%d", part.name, n), func(b *testing.B) {
				perItem := 0.0
				for b.Loop() {
					s := benchCell(b, 1, 1)
					before := heapBytes()
					part.fill(s, n)
					perItem = (heapBytes() - before) / float64(n)
					runtime.KeepAlive(s)
				}
				b.ReportMetric(perItem, "B/item")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkSnapshot measures the time to create, and the encoded size of, the
// snapshots of the shared state and of a zone with 260 endpoints and 1000 open
// jobs.
func BenchmarkSnapshot(b *testing.B) {
	s := benchCell(b, 19, 220)
	for i := range 1000 {
		apply(b, s, "", &record.Envelope{Kind: record.KindJobs, Jobs: &record.Jobs{Zone: "z00", Epoch: 2, Jobs: []record.Job{benchJob(i, 1)}}})
	}
	for i := range 260 {
		apply(b, s, "", &record.Envelope{Kind: record.KindRoster, Roster: &record.Roster{Zone: "z00", Epoch: 2, Endpoints: []string{fmt.Sprintf("endpoint-%05d", i)}}})
	}
	for name, make := range map[string]func() []*record.Snapshot{
		"shared": s.SnapshotShared,
		"zone":   func() []*record.Snapshot { return s.SnapshotZone("z00") },
	} {
		b.Run(name, func(b *testing.B) {
			size, parts := 0, 0
			for b.Loop() {
				size, parts = 0, 0
				for _, part := range make() {
					size += len(encode(b, &record.Envelope{Kind: record.KindSnapshot, Snapshot: part}))
					parts++
				}
			}
			b.ReportMetric(float64(size), "B/snapshot")
			b.ReportMetric(float64(parts), "parts")
		})
	}
}
