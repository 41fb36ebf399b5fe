// Package standin holds small stand-ins for the platform's log and list of
// instances and for workers and service runners. Each speaks the same
// interface as the real one and has fault switches, which a separate admin
// address offers as POST /fault {"name":..., "value":...}.
package standin
