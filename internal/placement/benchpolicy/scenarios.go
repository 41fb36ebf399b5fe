package main

import (
	"fmt"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/placement"
)

// scenarios returns the loads of both users, a zone of the design size and a
// saturated zone.
func scenarios() []scenario {
	return []scenario{kerhoas(), blueMahoe(), zone95(), saturated()}
}

// customers returns up to six teams with the given names and decreasing weights.
func customers(names ...string) []placement.Team {
	shares := []int64{4, 3, 2, 1, 1, 1}
	var teams []placement.Team
	for i, name := range names {
		teams = append(teams, placement.Team{Name: name, Weight: shares[i], MaxRunning: unbounded})
	}
	return teams
}

// kerhoas returns a scenario with a batch peak at midday and urgent label checks
// that peak before lorries leave.
func kerhoas() scenario {
	s := scenario{
		name: "kerhoas day", horizon: 40 * time.Minute, endpoints: workers(50, 64, 256, noAccelerators),
		teams: customers("brest", "lorient", "quimper", "vannes", "morlaix", "auray"), streams: map[string][]stream{},
	}
	day, width := 20*time.Minute, 10*time.Minute
	for i, t := range s.teams {
		part := float64(t.Weight) / 12
		if i%2 == 1 {
			part *= 1.3
		}
		s.streams[t.Name] = []stream{
			{label, deadlinePeaks(0.03*part, 10*time.Minute)}, {service, constant(0.12 * part)},
			{costing, gaussianPeak(0.2*part, 0.5*part, day, width)}, {routes, gaussianPeak(0.05*part, 0.3*part, day, width)},
			{match, gaussianPeak(0.02*part, 0.15*part, day, width)}, {invoice, constant(0.08 * part)},
		}
	}
	return s
}

// blueMahoe returns a scenario in which half of the teams (hotels) peak in the
// morning and the others (kitchens) at night.
func blueMahoe() scenario {
	s := scenario{
		name: "blue mahoe day", horizon: 50 * time.Minute, endpoints: workers(50, 32, 128, noAccelerators),
		teams: customers("montego", "negril", "antonio", "kingston", "ocho", "falmouth"), streams: map[string][]stream{},
	}
	for i, t := range s.teams {
		part := float64(t.Weight) / 12
		middle := 18 * time.Minute
		if i%2 == 1 {
			middle = 40 * time.Minute
		}
		width := 12 * time.Minute
		s.streams[t.Name] = []stream{
			{label, gaussianPeak(0.01*part, 0.06*part, middle, width)}, {service, constant(0.1 * part)},
			{costing, gaussianPeak(0.1*part, 0.8*part, middle, width)}, {routes, gaussianPeak(0.05*part, 0.9*part, middle, width)},
			{match, gaussianPeak(0, 0.2*part, middle, width)}, {invoice, gaussianPeak(0.05*part, 0.4*part, middle, width)},
		}
	}
	return s
}

// zone95 returns a scenario with one zone of the design size at 95% load of its
// cores, half of whose workers have accelerators.
func zone95() scenario {
	s := scenario{
		name: "zone at 95%", horizon: 15 * time.Minute, streams: map[string][]stream{},
		endpoints: workers(260, 64, 256, func(i int) int64 { return int64(4 * (i % 2)) }),
	}
	const teams = 40
	// The run time is short enough for the zone to fill within the run.
	shortService := service
	shortService.meanRunTime = 3 * time.Minute
	for i := range teams {
		t := placement.Team{Name: fmt.Sprintf("team%02d", i), Weight: int64(1 + i%4), MaxRunning: unbounded}
		s.teams = append(s.teams, t)
		part := 1.0 / teams
		s.streams[t.Name] = []stream{
			{label, constant(0.06 * part)}, {shortService, constant(0.17 * part)}, {costing, constant(0.3 * part)},
			{routes, constant(0.15 * part)}, {match, constant(0.1 * part)}, {invoice, constant(0.05 * part)}, {train, constant(0.96 * part)},
		}
	}
	return s
}

// saturated returns a scenario in which every team requests more than its share
// at all times.
func saturated() scenario {
	s := scenario{
		name: "saturated", horizon: 30 * time.Minute, endpoints: workers(50, 64, 256, noAccelerators),
		teams: customers("brest", "lorient", "quimper", "vannes", "morlaix", "auray"), streams: map[string][]stream{},
	}
	for i, t := range s.teams {
		part := float64(t.Weight) / 12
		// Teams differ in how far their demand is above their share.
		over := 1.2 + 0.3*float64(i%3)
		s.streams[t.Name] = []stream{
			{label, constant(0.02 * part)}, {costing, constant(0.5 * part * over)},
			{routes, constant(0.3 * part * over)}, {match, constant(0.1 * part * over)}, {invoice, constant(0.1 * part * over)},
		}
	}
	return s
}
