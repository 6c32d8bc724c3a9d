package sizing

// Move takes one VM from a pool to another.
type Move struct {
	From string
	To   string
}

// gain returns how many more slots of demand the two pools would serve if the
// VM had moved. It is below 0 if the VM serves more in its current pool.
func (m Move) gain(sizes map[string]PoolSize, demand map[string]float64) float64 {
	from, to := sizes[m.From], sizes[m.To]
	slots := from.slotsPerVM()
	loss := min(demand[m.From], float64(from.HealthySlots)) - min(demand[m.From], float64(from.HealthySlots)-slots)
	served := min(demand[m.To], float64(to.HealthySlots)+slots) - min(demand[m.To], float64(to.HealthySlots))
	return served - loss
}
