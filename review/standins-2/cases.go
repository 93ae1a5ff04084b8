package main

import "strconv"

// cases holds the cases by name.
var cases = map[string]caseSpec{
	"leaving-engine": {playLeavingEngine, smallSite("-unframed", "-events", strconv.Itoa(leavingEvents), "-pause", leavingPause.String())},
	"reborn-engine":  {playRebornEngine, smallSite("-unframed", "-work", rebornWork.String())},
	"many-fields":    {playManyFields, smallSite()},
	"kills":          {playKills, withPrepaid(smallSite("-events", "13"), killedPrepaid)},
}

// smallSite returns the deployment of the sheet of svorka-sit, whose engines are started with the flags.
func smallSite(engineFlags ...string) deployment {
	return deployment{routers: 7, memoryMB: 284, modelEngines: 9, plainEngines: 3, engineFlags: engineFlags}
}

// withPrepaid returns the deployment with a total of the organisation.
func withPrepaid(d deployment, tokens int64) deployment {
	d.prepaid = tokens
	return d
}
