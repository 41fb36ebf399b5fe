package controller

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/catalog"
	"github.com/bluebellstile/bluebellstile/internal/resource"
	"github.com/bluebellstile/bluebellstile/internal/workload"
)

// TestSharesOutliveTheHolder has a customer ask for far more than its share of full endpoints
// beside a small one: a new holder must find it over its share too.
func TestSharesOutliveTheHolder(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.params.Features.Shares = true
	for i := range 2 {
		w.addEndpoint(fmt.Sprintf("e%02d", i))
	}
	w.beginTerm()
	bulk := workload.Spec{Steps: []workload.Step{{Count: 12, Size: resource.Vector{MilliCores: 4000, MemoryMB: 10}, Estimate: 10 * time.Second}}}
	for i := range 4 {
		w.submit(workload.ID(fmt.Sprintf("b%015x", i)), "c1", bulk)
	}
	w.after(time.Second, func() { w.submit("b0000000000000ff", "c2", bulk) })
	over := func() bool {
		sh := w.current().core.shares
		return sh != nil && sh.over[poolCustomer{"p", "c1"}] && !sh.over[poolCustomer{"p", "c2"}]
	}
	w.run(3 * time.Second)
	if !over() {
		t.Error("the customer is not over its share")
	}
	w.current().dead = true
	w.beginTerm()
	w.run(4 * time.Second)
	if !over() {
		t.Error("a new holder does not find the customer over its share")
	}
	w.run(120 * time.Second)
	w.requireAllEnded()
}

// TestOddWeightsAreLoggedOnce has configurations with weights out of range: each is logged
// when it comes, and work goes on.
func TestOddWeightsAreLoggedOnce(t *testing.T) {
	w := newWorld(t, 1, faults{})
	var lines bytes.Buffer
	w.logger = slog.New(slog.NewTextHandler(&lines, nil))
	w.params.Features.Shares = true
	addEndpoints(w)
	set := func(weight float64) func(*catalog.Catalog) {
		return func(next *catalog.Catalog) {
			c1 := next.Customers["c1"]
			c1.Weight = weight
			next.Customers["c1"] = c1
		}
	}
	w.publish(set(0))
	w.beginTerm()
	w.submitTraffic(6)
	for i, weight := range []float64{0, -5, 1e300, 10} {
		w.after(time.Duration(4*i+3)*time.Second, func() { w.publish(set(weight)) })
	}
	w.run(90 * time.Second)
	w.requireAllEnded()
	if n := strings.Count(lines.String(), "weight of a customer is out of range"); n != 3 {
		t.Errorf("%d lines on weights, want one for each of 0, -5 and 1e300", n)
	}
}
