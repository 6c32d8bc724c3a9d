package sizing

// Move takes one VM from a pool to another.
type Move struct {
	From string
	To   string
}

// gain returns by how many slots more the two pools would serve their demand
// if the VM had moved. It is below 0 if the VM is worth more where it is.
func (m Move) gain(sizes map[string]PoolSize, demand map[string]float64) float64 {
	from, to := sizes[m.From], sizes[m.To]
	slots := from.slotsPerVM()
	lost := min(demand[m.From], float64(from.HealthySlots)) - min(demand[m.From], float64(from.HealthySlots)-slots)
	won := min(demand[m.To], float64(to.HealthySlots)+slots) - min(demand[m.To], float64(to.HealthySlots))
	return won - lost
}
