package standin

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// PathFault is the path of the fault switches on the admin address.
const PathFault = "/fault"

// maxFaultBytes limits the body of a request that sets a fault switch.
const maxFaultBytes = 1 << 20

// FaultRequest is the body of a request that sets a fault switch.
type FaultRequest struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// FaultStatus describes one fault switch.
type FaultStatus struct {
	Name  string `json:"name"`
	Usage string `json:"usage"`
	Value any    `json:"value,omitempty"`
}

// faultSwitch is a fault switch. get is nil if it has no value to list, and
// clear is nil if there is nothing to reset.
type faultSwitch struct {
	usage string
	set   func(json.RawMessage) error
	get   func() any
	clear func()
}

// Faults is the set of fault switches of a stand-in.
type Faults struct {
	mu       sync.Mutex
	switches map[string]*faultSwitch
	onDie    []func()
}

// newFaults returns a set that holds only the switch "die".
func newFaults() *Faults {
	f := &Faults{switches: make(map[string]*faultSwitch)}
	f.addAction("die", "end at once without any clean-up", func(json.RawMessage) error {
		f.die()
		return nil
	})
	return f
}

// OnDie registers a function that the switch "die" calls. Functions are called
// in the order of their registration.
func (f *Faults) OnDie(hook func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onDie = append(f.onDie, hook)
}

// die calls the registered functions in order.
func (f *Faults) die() {
	f.mu.Lock()
	hooks := slices.Clone(f.onDie)
	f.mu.Unlock()
	for _, hook := range hooks {
		hook()
	}
}

// Set sets a switch. The JSON encoding of value must be what the switch
// expects.
func (f *Faults) Set(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode value of fault %q", name)
	}
	return f.setRaw(name, data)
}

func (f *Faults) setRaw(name string, value json.RawMessage) error {
	f.mu.Lock()
	s := f.switches[name]
	f.mu.Unlock()
	if s == nil {
		return errors.Errorf("no fault %q; GET %s lists those that exist", name, PathFault)
	}
	return errors.Wrapf(s.set(value), "fault %q (%s)", name, s.usage)
}

// Clear resets all switches to their initial values.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.switches {
		if s.clear != nil {
			s.clear()
		}
	}
}

// List returns all switches, sorted by name.
func (f *Faults) List() []FaultStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]FaultStatus, 0, len(f.switches))
	for name, s := range f.switches {
		status := FaultStatus{Name: name, Usage: s.usage}
		if s.get != nil {
			status.Value = s.get()
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b FaultStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// add registers a switch.
func (f *Faults) add(name string, s *faultSwitch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.switches[name] = s
}

// addAction registers a switch that calls act each time it is set.
func (f *Faults) addAction(name, usage string, act func(json.RawMessage) error) {
	f.add(name, &faultSwitch{usage: usage, set: act})
}

// addBool registers a boolean switch that is false initially.
func (f *Faults) addBool(name, usage string) *atomic.Bool {
	v := new(atomic.Bool)
	f.add(name, &faultSwitch{
		usage: usage + "; true or false",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, v.Store) },
		get:   func() any { return v.Load() },
		clear: func() { v.Store(false) },
	})
	return v
}

// addInt registers an integer switch.
func (f *Faults) addInt(name, usage string, initial int64) *atomic.Int64 {
	v := new(atomic.Int64)
	v.Store(initial)
	f.add(name, &faultSwitch{
		usage: usage + "; a whole number",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, v.Store) },
		get:   func() any { return v.Load() },
		clear: func() { v.Store(initial) },
	})
	return v
}

// durationSwitch is the value of a switch that holds a duration.
type durationSwitch struct{ nanos atomic.Int64 }

func (d *durationSwitch) get() time.Duration  { return time.Duration(d.nanos.Load()) }
func (d *durationSwitch) set(v time.Duration) { d.nanos.Store(int64(v)) }

// addDuration registers a switch that holds a duration, such as "50ms".
func (f *Faults) addDuration(name, usage string, initial time.Duration) *durationSwitch {
	d := new(durationSwitch)
	d.set(initial)
	f.add(name, &faultSwitch{
		usage: usage + `; a duration such as "50ms"`,
		set: func(raw json.RawMessage) error {
			var text string
			if err := json.Unmarshal(raw, &text); err != nil {
				return err
			}
			v, err := time.ParseDuration(text)
			if err == nil && v < 0 {
				err = errors.New("duration is negative")
			}
			if err == nil {
				d.set(v)
			}
			return err
		},
		get:   func() any { return d.get().String() },
		clear: func() { d.set(initial) },
	})
	return d
}

// factorSwitch is the value of a switch that holds a factor.
type factorSwitch struct{ bits atomic.Uint64 }

func (s *factorSwitch) set(v float64) { s.bits.Store(math.Float64bits(v)) }
func (s *factorSwitch) get() float64  { return math.Float64frombits(s.bits.Load()) }

// scale multiplies n by the factor.
func (s *factorSwitch) scale(n int64) int64 { return int64(float64(n) * s.get()) }

// addFactor registers a switch that holds a factor and is 1 initially.
func (f *Faults) addFactor(name, usage string) *factorSwitch {
	s := new(factorSwitch)
	s.set(1)
	f.add(name, &faultSwitch{
		usage: usage + "; a factor",
		set:   func(raw json.RawMessage) error { return decodeInto(raw, s.set) },
		get:   func() any { return s.get() },
		clear: func() { s.set(1) },
	})
	return s
}

// decodeInto decodes raw as JSON and passes the value to store.
func decodeInto[T any](raw json.RawMessage, store func(T)) error {
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	store(v)
	return nil
}

// Handler returns the handler of PathFault: GET lists the switches, POST sets
// one of them, and DELETE resets all.
func (f *Faults) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFault, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f.List())
	})
	mux.HandleFunc("DELETE "+PathFault, func(w http.ResponseWriter, _ *http.Request) {
		f.Clear()
		writeJSON(w, http.StatusOK, f.List())
	})
	mux.HandleFunc("POST "+PathFault, func(w http.ResponseWriter, r *http.Request) {
		var req FaultRequest
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFaultBytes))
		if err == nil {
			err = json.Unmarshal(body, &req)
		}
		if err == nil {
			err = f.setRaw(req.Name, req.Value)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
	})
	return mux
}
