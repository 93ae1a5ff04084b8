package main

import (
	"strconv"
	"time"
)

// cases holds the cases by name.
var cases = map[string]caseSpec{
	"leaving-engine": {playLeavingEngine, svorkaSit("-unframed", "-events", strconv.Itoa(leavingEvents), "-pause", leavingPause.String(), "-exit-after", leavingExit.String())},
	"reborn-engine":  {playRebornEngine, velocarCluj("-unframed", "-work", rebornWork.String())},
	"many-fields":    {playManyFields, svorkaSit()},
}

// svorkaSit returns the deployment of the sheet of svorka-sit, whose engines are started with the flags.
func svorkaSit(engineFlags ...string) deployment {
	return deployment{
		region: "cz-stred", zones: []string{"praha-sever", "kladno", "benesov"},
		routers: 7, memoryMB: 284, modelEngines: 9, plainEngines: 3, bookingLimit: time.Second, engineFlags: engineFlags,
	}
}

// velocarCluj returns that of velocar-cluj.
func velocarCluj(engineFlags ...string) deployment {
	return deployment{
		region: "ro-nord", zones: []string{"cluj-a", "cluj-b", "cluj-c"},
		routers: 8, memoryMB: 134, modelEngines: 12, plainEngines: 3, bookingLimit: 1500 * time.Millisecond, engineFlags: engineFlags,
	}
}
