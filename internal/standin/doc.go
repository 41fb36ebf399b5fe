// Package standin implements simplified replacements, called stand-ins, for
// the platform's log and list of instances, for workers and service runners,
// and for the store, the adviser and the runners of a site of the users'
// platform. Each stand-in serves the same interface as the real service and
// has fault switches, which make it fail on purpose. A fault switch is set
// with POST /fault {"name":..., "value":...} on a separate admin address.
package standin
