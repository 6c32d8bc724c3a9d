package statemachine

// Zone is the disruption budget of an availability zone.
type Zone struct {
	Name string `json:"name" validate:"required,max=64,excludesall=./"`
	// MaxUnavailable is the number of the zone's VMs that may be out of service
	// at once by maintenance and failures together.
	MaxUnavailable int `json:"max_unavailable" validate:"min=0"`
	// Version counts the changes, from 1.
	Version uint64 `json:"version"`
}

// KindZoneSet is the kind of ZoneSet.
const KindZoneSet Kind = "zone_set"

// ZoneSet sets the budget of an availability zone. It is rejected unless
// Expected is the zone's version, or 0 for the first one.
type ZoneSet struct {
	Zone     Zone   `json:"zone"`
	Expected uint64 `json:"expected"`
}

// Kind implements Command.
func (*ZoneSet) Kind() Kind { return KindZoneSet }

func (c *ZoneSet) apply(next *State, _ applyContext) *Rejection {
	zone := c.Zone
	var version uint64
	if current, ok := next.Zones.Get(zone.Name); ok {
		version = current.Version
	}
	if c.Expected != version {
		return rejectf(ReasonVersion, "availability zone %s is at version %d, not %d", zone.Name, version, c.Expected)
	}
	if zone.MaxUnavailable < 0 {
		return rejectf(ReasonInvalid, "max_unavailable %d is below 0", zone.MaxUnavailable)
	}
	zone.Version = version + 1
	next.Zones = next.Zones.Set(zone.Name, &zone)
	return nil
}
