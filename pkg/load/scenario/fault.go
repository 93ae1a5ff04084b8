package scenario

import "time"

// FaultKind names what a fault does.
type FaultKind string

// Kinds of faults. The comment names the fields of Fault that each uses beside At.
const (
	// Kill sends SIGKILL.
	Kill FaultKind = "kill" // VM
	// Freeze sends SIGSTOP, and SIGCONT after For if that is set.
	Freeze FaultKind = "freeze" // VM, For
	// Thaw sends SIGCONT.
	Thaw FaultKind = "thaw" // VM
	// Terminate sends SIGTERM, a planned stop.
	Terminate FaultKind = "terminate" // VM
	// Withdraw marks a VM as leaving and sends SIGTERM when it has no work, at the latest after For.
	Withdraw FaultKind = "withdraw" // VM, For
	// Leave marks a VM as leaving through the admin API.
	Leave FaultKind = "leave" // VM, Via
	// Stay takes the mark back.
	Stay FaultKind = "stay" // VM, Via
	// ListLeaving changes the state of a VM to leaving in the platform's list.
	ListLeaving FaultKind = "list_leaving" // VM
	// ListGone changes the state of a VM to gone in the platform's list.
	ListGone FaultKind = "list_gone" // VM
	// PlatformDown makes the platform refuse the calls of the routers.
	PlatformDown FaultKind = "platform_down" // For, VMs
	// PlatformSlow delays the calls of the routers.
	PlatformSlow FaultKind = "platform_slow" // For, VMs, Delay
	// PlatformLost loses answers to writes of the routers after they took effect.
	PlatformLost FaultKind = "platform_lost" // For, VMs, Probability
	// PlatformGap makes watches of the routers start again.
	PlatformGap FaultKind = "platform_gap" // For, VMs, Probability
	// TopUp adds tokens to a budget.
	TopUp FaultKind = "top_up" // Budget, Tokens, Via
	// Race lets two operators change the same class at the same time, Count times.
	Race FaultKind = "race" // Class, Count
	// EngineCrash ends an engine's process with all its streams.
	EngineCrash FaultKind = "engine_crash" // VM
	// EngineFreeze stops an engine's work and answers for For.
	EngineFreeze FaultKind = "engine_freeze" // VM, For
	// EngineSlow slows an engine down by Factor for For.
	EngineSlow FaultKind = "engine_slow" // VM, For, Factor
	// EngineCrossed crosses, EngineDuplicated repeats and EngineLate delays frames of streams, Count times.
	EngineCrossed    FaultKind = "engine_crossed"    // VM, Count
	EngineDuplicated FaultKind = "engine_duplicated" // VM, Count
	EngineLate       FaultKind = "engine_late"       // VM, Count
	// ServiceRefuses refuses calls before they run, ServiceFails fails and ServiceHangs goes silent after they ran.
	ServiceRefuses FaultKind = "service_refuses" // VM, Count
	ServiceFails   FaultKind = "service_fails"   // VM, Count
	ServiceHangs   FaultKind = "service_hangs"   // VM, Count, For
)

// Fault is one timed fault.
type Fault struct {
	// At is the time from the start of the run.
	At   time.Duration `yaml:"at"`
	Kind FaultKind     `yaml:"kind"`
	VM   string        `yaml:"vm"`
	// VMs limits a fault of the platform to the calls of these entry VMs; empty means all.
	VMs []string `yaml:"vms"`
	// For is how long the fault lasts; 0 means to the end of the run.
	For         time.Duration `yaml:"for"`
	Delay       time.Duration `yaml:"delay"`
	Probability float64       `yaml:"probability"`
	Factor      float64       `yaml:"factor"`
	Count       int           `yaml:"count"`
	// Budget is written <organisation>/<budget>.
	Budget string `yaml:"budget"`
	Tokens int64  `yaml:"tokens"`
	Class  string `yaml:"class"`
	// Via is the entry VM whose admin API is used; empty means any that answers.
	Via string `yaml:"via"`
}

// needs lists the fields that a kind of fault can't do without.
var needs = map[FaultKind][]string{
	Kill: {"vm"}, Freeze: {"vm"}, Thaw: {"vm"}, Terminate: {"vm"}, Withdraw: {"vm"}, Leave: {"vm"}, Stay: {"vm"},
	ListLeaving: {"vm"}, ListGone: {"vm"},
	PlatformDown: {}, PlatformSlow: {"delay"}, PlatformLost: {"probability"}, PlatformGap: {},
	TopUp: {"budget", "tokens"}, Race: {"class", "count"},
	EngineCrash: {"vm"}, EngineFreeze: {"vm", "for"}, EngineSlow: {"vm", "factor"},
	EngineCrossed: {"vm", "count"}, EngineDuplicated: {"vm", "count"}, EngineLate: {"vm", "count"},
	ServiceRefuses: {"vm", "count"}, ServiceFails: {"vm", "count"}, ServiceHangs: {"vm", "count"},
}

// has reports whether the field is set.
func (f Fault) has(field string) bool {
	switch field {
	case "vm":
		return f.VM != ""
	case "for":
		return f.For > 0
	case "delay":
		return f.Delay > 0
	case "probability":
		return f.Probability > 0
	case "factor":
		return f.Factor > 0
	case "count":
		return f.Count > 0
	case "budget":
		return f.Budget != ""
	case "tokens":
		return f.Tokens > 0
	case "class":
		return f.Class != ""
	}
	return false
}
