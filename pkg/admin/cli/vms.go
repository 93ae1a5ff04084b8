package cli

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
	"github.com/lavendershunt/lavendershunt/pkg/config"
)

// markOutput is the output of vm leave and vm stay.
type markOutput struct {
	Object object `json:"object"`
	// BlockedBy lists the models and services that have no other endpoint.
	BlockedBy []string `json:"blocked_by,omitempty"`
	// NotListed is set if the VM is not in the platform's VM list, which may be out of date.
	NotListed bool `json:"not_listed,omitempty"`
}

func leaveVM(flags *flag.FlagSet) runFunc {
	in := flags.Duration("in", 0, "time from now by which the VM must be free of work, such as 15m (default: no deadline)")
	revision := revisionFlag(flags)
	return func(ctx context.Context, c *call) (result, error) {
		mark := config.VMMark{VM: c.operand, Leaving: true}
		if c.setFlags["in"] {
			deadline := c.now.Add(*in).UTC().Truncate(time.Second)
			mark.Deadline = &deadline
		}
		o, err := putMark(ctx, c, mark, *revision)
		if err != nil {
			return result{}, err
		}
		out := markOutput{Object: o}
		text := "VM " + c.operand + " is marked as leaving"
		if s, err := readStatus(ctx, c); err == nil {
			out.NotListed = !slices.ContainsFunc(s.VMs, func(v vm) bool { return v.Name == c.operand })
			if out.NotListed {
				text += "\nwarning: the VM list has no VM " + c.operand + "; check the name"
			}
			for _, d := range s.Drains {
				if d.VM == c.operand && len(d.BlockedBy) > 0 {
					out.BlockedBy = d.BlockedBy
					text += "\nblocked: no other endpoint for " + strings.Join(d.BlockedBy, ", ")
				}
			}
		}
		return result{out, text}, nil
	}
}

func stayVM(flags *flag.FlagSet) runFunc {
	revision := revisionFlag(flags)
	return func(ctx context.Context, c *call) (result, error) {
		o, err := putMark(ctx, c, config.VMMark{VM: c.operand}, *revision)
		return result{markOutput{Object: o}, "VM " + c.operand + " is no longer marked as leaving"}, err
	}
}

func putMark(ctx context.Context, c *call, mark config.VMMark, revision uint64) (object, error) {
	if !c.setFlags["if-revision"] {
		current, err := getObject(ctx, c, config.KindVM, mark.VM)
		if err != nil && !isNotFound(err) {
			return object{}, err
		}
		revision = current.Revision
	}
	return putObject(ctx, c, config.KindVM, mark.VM, mark, revision)
}

// status is the output of the command status.
type status struct {
	Instance       string `json:"instance"`
	ConfigLoaded   bool   `json:"config_loaded"`
	ConfigRevision uint64 `json:"config_revision"`
	// ConfigAgeMS is the time since the platform last confirmed the configuration; nil if the router reports none.
	ConfigAgeMS       *int64    `json:"config_age_ms"`
	VMListAgeMS       int64     `json:"vm_list_age_ms"`
	Routers           []router  `json:"routers"`
	VMs               []vm      `json:"vms"`
	Drains            []drain   `json:"drains"`
	Witnesses         []witness `json:"witnesses"`
	WitnessesChanging bool      `json:"witnesses_changing,omitempty"`
}

// witness is a router that keeps a copy of the journal of the router that answered the command.
type witness struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Failing  bool   `json:"failing"`
}

type router struct {
	Instance      string `json:"instance"`
	VM            string `json:"vm"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
	State         string `json:"state"`
	CallerAddress string `json:"caller_address"`
}

type vm struct {
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Zone    string   `json:"zone"`
	Role    string   `json:"role"`
	State   string   `json:"state"`
	Models  []string `json:"models,omitempty"`
	Service string   `json:"service,omitempty"`
	Marked  bool     `json:"marked"`
}

type drain struct {
	VM          string   `json:"vm"`
	State       string   `json:"state"`
	Awaited     []string `json:"awaited"`
	RemainingMS int64    `json:"remaining_ms"`
	Deadline    string   `json:"deadline,omitempty"`
	BlockedBy   []string `json:"blocked_by,omitempty"`
}

func readStatus(ctx context.Context, c *call) (status, error) {
	response, err := c.client.GetStatus(ctx, connect.NewRequest(&adminv1.GetStatusRequest{}))
	if err != nil {
		return status{}, err
	}
	m := response.Msg
	s := status{Instance: m.GetInstance(), ConfigLoaded: m.GetConfigLoaded(), ConfigRevision: m.GetConfigRevision(),
		ConfigAgeMS: m.ConfigAgeMs, VMListAgeMS: m.GetVmListAgeMs(), Routers: []router{}, VMs: []vm{}, Drains: []drain{},
		Witnesses: []witness{}, WitnessesChanging: m.GetWitnessesChanging()}
	for _, w := range m.GetWitnesses() {
		s.Witnesses = append(s.Witnesses, witness{w.GetInstance(), w.GetRegion(), w.GetZone(), w.GetAddress(), w.GetFailing()})
	}
	for _, r := range m.GetRouters() {
		s.Routers = append(s.Routers, router{r.GetInstance(), r.GetVm(), r.GetRegion(), r.GetZone(), r.GetState(), r.GetCallerAddress()})
	}
	for _, v := range m.GetVms() {
		s.VMs = append(s.VMs, vm{v.GetName(), v.GetRegion(), v.GetZone(), v.GetRole(), v.GetState(), v.GetModels(), v.GetService(), v.GetMarked()})
	}
	for _, d := range m.GetDrains() {
		out := drain{VM: d.GetVm(), State: d.GetState(), Awaited: append([]string{}, d.GetAwaited()...), RemainingMS: d.GetRemainingMs(), BlockedBy: d.GetBlockedBy()}
		if d.GetDeadlineUnixMs() > 0 {
			out.Deadline = time.UnixMilli(d.GetDeadlineUnixMs()).UTC().Format(time.RFC3339)
		}
		s.Drains = append(s.Drains, out)
	}
	return s, nil
}

func showStatus(*flag.FlagSet) runFunc {
	return func(ctx context.Context, c *call) (result, error) {
		s, err := readStatus(ctx, c)
		return result{s, s.text()}, err
	}
}

func showDrains(*flag.FlagSet) runFunc {
	return func(ctx context.Context, c *call) (result, error) {
		s, err := readStatus(ctx, c)
		return result{s.Drains, drainText(s.Drains)}, err
	}
}

func (s status) text() string {
	var b strings.Builder
	loaded := "not loaded: requests are refused until the platform or a peer answers"
	if s.ConfigLoaded {
		loaded = fmt.Sprintf("complete up to revision %d", s.ConfigRevision)
	}
	if s.ConfigAgeMS != nil {
		loaded += fmt.Sprintf(", confirmed by the platform %s ago", time.Duration(*s.ConfigAgeMS)*time.Millisecond)
	}
	fmt.Fprintf(&b, "answered by %s\nconfiguration %s\n", s.Instance, loaded)
	if s.VMListAgeMS < 0 {
		b.WriteString("VM list not received\n")
	} else {
		fmt.Fprintf(&b, "VM list %s old\n", time.Duration(s.VMListAgeMS)*time.Millisecond)
	}
	var rows [][]string
	for _, r := range s.Routers {
		rows = append(rows, []string{r.Instance, r.State, r.Region, r.Zone, r.CallerAddress})
	}
	b.WriteString("\n" + formatTable([]string{"ROUTER", "STATE", "REGION", "AVAILABILITY ZONE", "CALLER ADDRESS"}, rows))
	b.WriteString("\n" + s.witnessText())
	rows = nil
	for _, v := range s.VMs {
		state := v.State
		if v.Marked {
			state += ", marked leaving"
		}
		rows = append(rows, []string{v.Name, v.Role, state, v.Zone, strings.Join(append(v.Models, v.Service), " ")})
	}
	b.WriteString("\n" + formatTable([]string{"VM", "ROLE", "STATE", "AVAILABILITY ZONE", "OFFERS"}, rows))
	b.WriteString("\n" + drainText(s.Drains))
	return b.String()
}

func (s status) witnessText() string {
	if len(s.Witnesses) == 0 {
		return "this router has no witness: bills are durable once the platform has them\n"
	}
	var rows [][]string
	for _, w := range s.Witnesses {
		state := "answers"
		if w.Failing {
			state = "failing"
		}
		rows = append(rows, []string{w.Instance, state, w.Region, w.Zone, w.Address})
	}
	text := formatTable([]string{"WITNESS OF THIS ROUTER", "STATE", "REGION", "AVAILABILITY ZONE", "PEER ADDRESS"}, rows)
	if s.WitnessesChanging {
		text += "a change of the witnesses is in progress\n"
	}
	return text
}

func drainText(drains []drain) string {
	if len(drains) == 0 {
		return "no VM is leaving"
	}
	var rows [][]string
	for _, d := range drains {
		remaining := "unknown"
		if d.RemainingMS >= 0 {
			remaining = (time.Duration(d.RemainingMS) * time.Millisecond).String()
		}
		blocked := ""
		if len(d.BlockedBy) > 0 {
			blocked = "blocked: no other endpoint for " + strings.Join(d.BlockedBy, ", ")
		}
		rows = append(rows, []string{d.VM, d.State, orDefault(strings.Join(d.Awaited, ", "), "-"), remaining, orDefault(d.Deadline, "-"), blocked})
	}
	return formatTable([]string{"LEAVING VM", "STATE", "AWAITED", "REMAINING", "DEADLINE", ""}, rows)
}
