package journal

import "context"

// Registration is the durable identity of an instance that holds grants.
type Registration struct {
	// Instance is the holder of the grants.
	Instance string
	// Witnesses are the witnesses that the instance record names, in order of preference.
	Witnesses []Ref
}

// Registrar creates and changes instance records.
type Registrar interface {
	// Register creates a record with a new id. The caller retries on error.
	Register(ctx context.Context) (Registration, error)
	// ChangeWitnesses replaces the witnesses in the record. It returns once the outcome is known or ctx ends: changed
	// reports whether the record names the given witnesses, closed whether the instance is being closed or was closed.
	ChangeWitnesses(ctx context.Context, instance string, witnesses []Ref) (changed, closed bool, err error)
}

// WitnessStatus describes the witnesses of an instance.
type WitnessStatus struct {
	Instance  string
	Witnesses []Ref
	// Failing lists the witnesses that have not answered for a given time or have restarted.
	Failing []Ref
	// Changing is set while a change of the witnesses is in progress.
	Changing bool
	// Closed is set if the instance was closed and a new one is not registered yet.
	Closed bool
}
