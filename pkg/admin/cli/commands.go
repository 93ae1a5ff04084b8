package cli

import "github.com/lavendershunt/lavendershunt/pkg/config"

// commands lists all commands of lsctl.
var commands = []command{
	createCommand(config.KindClass, "name", "declare a class of work with its target", editClass),
	listCommand(config.KindClass),
	getCommand(config.KindClass, "name"),
	changeCommand(config.KindClass, "name", editClass),
	deleteCommand(config.KindClass, "name"),

	createCommand(config.KindOrganisation, "id", "declare an organisation", editOrganisation),
	listCommand(config.KindOrganisation),
	getCommand(config.KindOrganisation, "id"),
	changeCommand(config.KindOrganisation, "id", editOrganisation),
	deleteCommand(config.KindOrganisation, "id"),

	{path: "key create", help: "create a key, print it once and store its SHA-256", setup: createKey},
	listCommand(config.KindKey),
	getCommand(config.KindKey, "sha256"),
	changeCommand(config.KindKey, "sha256", editKey),
	deleteCommand(config.KindKey, "sha256"),

	{path: "budget create", operand: "organisation/budget", help: "create a budget without tokens", setup: createBudget},
	{path: "budget topup", operand: "organisation/budget", help: "add prepaid tokens once per -id", setup: topUpBudget},
	{path: "budget list", operand: "organisation", help: "show the budgets of an organisation", setup: showBudgets},
	{path: "budget status", operand: "organisation/budget", help: "show topped up, settled, granted and unallocated tokens", setup: showBudgets},
	{path: "budget prefer", operand: "organisation/budget", help: "change which error the budget avoids when it is nearly used up", setup: preferBudget},
	{path: "budget held", operand: "organisation[/budget]", optional: true, help: "show the instances that can't be closed or, with an operand, the grants of failed routers", setup: showHeldTokens},
	{path: "budget release", operand: "organisation/budget", optional: true, help: "close the held instance -instance without its unreachable witnesses, or return the grant of -holder to one budget", setup: releaseBudget},

	{path: "vm leave", operand: "vm", help: "mark a VM as leaving", setup: leaveVM},
	{path: "vm stay", operand: "vm", help: "no longer mark a VM as leaving", setup: stayVM},
	listCommand(config.KindVM),
	getCommand(config.KindVM, "vm"),
	deleteCommand(config.KindVM, "vm"),

	{path: "status", help: "show routers, VMs, endpoints and drains", setup: showStatus},
	{path: "check", operand: "file", local: true, setup: checkConfig,
		help: "check a configuration of lsentry before it is sent; exits with 0 if clean, 1 with warnings, 2 with errors"},
	{path: "drain", help: "show the work that each leaving VM still waits for", setup: showDrains},
}
