package scenario

import "time"

// FaultKind is the kind of a fault, as written in a scenario file.
type FaultKind string

// Kinds of faults. The comment behind each kind lists the fields of Fault that it uses besides At.
const (
	// Kill sends SIGKILL.
	Kill FaultKind = "kill" // VM
	// Freeze sends SIGSTOP, and SIGCONT after For if that is set.
	Freeze FaultKind = "freeze" // VM, For
	// Thaw sends SIGCONT.
	Thaw FaultKind = "thaw" // VM
	// Terminate sends SIGTERM, a planned stop.
	Terminate FaultKind = "terminate" // VM
	// Withdraw marks a VM as leaving and sends SIGTERM once it has no work, at the latest after For.
	Withdraw FaultKind = "withdraw" // VM, For
	// Leave marks a VM as leaving through the admin API.
	Leave FaultKind = "leave" // VM, Via
	// CancelLeave removes the leaving mark through the admin API.
	CancelLeave FaultKind = "stay" // VM, Via
	// ListLeaving changes the state of a VM to leaving in the platform's list.
	ListLeaving FaultKind = "list_leaving" // VM
	// ListGone changes the state of a VM to gone in the platform's list.
	ListGone FaultKind = "list_gone" // VM
	// PlatformDown makes the platform refuse calls from routers.
	PlatformDown FaultKind = "platform_down" // For, VMs
	// PlatformSlow delays calls from routers.
	PlatformSlow FaultKind = "platform_slow" // For, VMs, Delay
	// PlatformLost drops the responses to writes from routers after the writes took effect.
	PlatformLost FaultKind = "platform_lost" // For, VMs, Probability
	// PlatformGap breaks the watches of routers with a gap, so that they start again.
	PlatformGap FaultKind = "platform_gap" // For, VMs, Probability
	// TopUp adds tokens to a budget.
	TopUp FaultKind = "top_up" // Budget, Tokens, Via
	// Race makes two operators change the same class concurrently, Count times.
	Race FaultKind = "race" // Class, Count
	// EngineCrash makes an engine's process exit, which breaks all its streams.
	EngineCrash FaultKind = "engine_crash" // VM
	// EngineFreeze makes an engine stop working and answering for For.
	EngineFreeze FaultKind = "engine_freeze" // VM, For
	// EngineSlow slows an engine down by Factor for For.
	EngineSlow FaultKind = "engine_slow" // VM, For, Factor
	// EngineCrossed swaps frames between two streams, EngineDuplicated sends frames twice, and EngineLate sends frames of
	// ended requests in the streams of other requests, Count times.
	EngineCrossed    FaultKind = "engine_crossed"    // VM, Count
	EngineDuplicated FaultKind = "engine_duplicated" // VM, Count
	EngineLate       FaultKind = "engine_late"       // VM, Count
	// ServiceRefuses refuses calls before they run. After they ran, ServiceFails answers with an error, and ServiceHangs
	// keeps the connection open for For without an answer.
	ServiceRefuses FaultKind = "service_refuses" // VM, Count
	ServiceFails   FaultKind = "service_fails"   // VM, Count
	ServiceHangs   FaultKind = "service_hangs"   // VM, Count, For
)

// Fault is a fault that is injected at a set time.
type Fault struct {
	// At is the time from the start of the run.
	At   time.Duration `yaml:"at"`
	Kind FaultKind     `yaml:"kind"`
	VM   string        `yaml:"vm"`
	// VMs limits a fault of the platform to calls from these entry VMs; empty means all.
	VMs []string `yaml:"vms"`
	// For is how long the fault lasts; 0 means until the end of the run.
	For         time.Duration `yaml:"for"`
	Delay       time.Duration `yaml:"delay"`
	Probability float64       `yaml:"probability"`
	Factor      float64       `yaml:"factor"`
	Count       int           `yaml:"count"`
	// Budget has the form <organisation>/<budget>.
	Budget string `yaml:"budget"`
	Tokens int64  `yaml:"tokens"`
	Class  string `yaml:"class"`
	// Via is the entry VM whose admin API is used; empty means any that answers.
	Via string `yaml:"via"`
}

// requiredFields lists the fields that must be set for each kind of fault.
var requiredFields = map[FaultKind][]string{
	Kill: {"vm"}, Freeze: {"vm"}, Thaw: {"vm"}, Terminate: {"vm"}, Withdraw: {"vm"}, Leave: {"vm"}, CancelLeave: {"vm"},
	ListLeaving: {"vm"}, ListGone: {"vm"},
	PlatformDown: {}, PlatformSlow: {"delay"}, PlatformLost: {"probability"}, PlatformGap: {},
	TopUp: {"budget", "tokens"}, Race: {"class", "count"},
	EngineCrash: {"vm"}, EngineFreeze: {"vm", "for"}, EngineSlow: {"vm", "factor"},
	EngineCrossed: {"vm", "count"}, EngineDuplicated: {"vm", "count"}, EngineLate: {"vm", "count"},
	ServiceRefuses: {"vm", "count"}, ServiceFails: {"vm", "count"}, ServiceHangs: {"vm", "count"},
}

// isSet reports whether the field with this YAML name is set.
func (f Fault) isSet(field string) bool {
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
