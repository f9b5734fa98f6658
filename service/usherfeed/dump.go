package usherfeed

type dumpWire struct {
	Revision   uint64 `json:"revision"`
	Workspaces int    `json:"workspaces"`
}

// Dump returns the feed's state for operators.
func (f *Feed) Dump() any {
	view := f.View()
	return dumpWire{Revision: view.Version().Revision, Workspaces: view.WorkspaceCount()}
}
