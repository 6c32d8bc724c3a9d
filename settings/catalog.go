package settings

import "github.com/anvilcourse/anvilcourse/statemachine"

// Catalog is what an operator publishes to set a system up: pools, one
// template and its workspaces.
type Catalog struct {
	Template   statemachine.Template    `json:"template"`
	Pools      []statemachine.Pool      `json:"pools" validate:"min=1,dive"`
	Workspaces []statemachine.Workspace `json:"workspaces" validate:"min=1,dive"`
}

// LoadCatalog reads and checks a catalog.
func LoadCatalog(path string) (Catalog, error) {
	var out Catalog
	err := load(path, &out)
	return out, err
}
