package forward

// recordBegin remembers at which version the stream began. Later calls do nothing.
func (e *exchange) recordBegin() {
	if !e.begun {
		e.begun, e.software = true, e.decision.Software
	}
}
