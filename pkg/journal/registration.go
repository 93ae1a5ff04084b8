package journal

import "context"

// Registration is the durable identity of an instance that holds grants.
type Registration struct {
	// Instance is the holder of the grants.
	Instance string
	// Witnesses are the witnesses that the instance record names, in the order of preference.
	Witnesses []Ref
}

// Registrar keeps the instance record.
type Registrar interface {
	// Register creates a record under a new id. The caller repeats it on error.
	Register(ctx context.Context) (Registration, error)
	// ChangeWitnesses names other witnesses in the record. It returns once the outcome is known or ctx ends: changed
	// tells whether the record names them, and closed that the instance is being closed or has been.
	ChangeWitnesses(ctx context.Context, instance string, witnesses []Ref) (changed, closed bool, err error)
}

// WitnessStatus is the state of an instance's journal.
type WitnessStatus struct {
	Instance  string
	Witnesses []Ref
	// Failing lists the witnesses that have not answered for a given time or have restarted.
	Failing []Ref
	// Changing tells that a change of the witnesses is in progress.
	Changing bool
	// Closed tells that the instance was closed and a new one is not registered yet.
	Closed bool
}
