// Package standin implements simplified replacements, called stand-ins, for
// the platform's log and list of instances, for workers and service runners,
// and for a site of the users' platform, which consists of a store, an adviser
// and runners. Each stand-in serves the same interface as the real service and
// has fault switches, which make it fail on purpose. A fault switch is set
// with POST /fault {"name":..., "value":...} on a separate admin address.
package standin
