package entry

import (
	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/settings"
)

// identity identifies one incarnation of the process.
type identity struct {
	// incarnation is unique to this start.
	incarnation string
}

func newIdentity(s settings.Entry) identity {
	return identity{incarnation: s.Name + "-" + uuid.NewString()[:8]}
}
