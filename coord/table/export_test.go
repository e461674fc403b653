package table

// SetVerdictLimit makes a machine remember fewer edit IDs.
func (m *Machine) SetVerdictLimit(n int) { m.verdictLimit = n }
