package fleet

// Team is a team with its keys, its share and its upper limit.
type Team struct {
	Name string
	// Weight is the share when the fleet is full.
	Weight int64
	// Cap is what may run at once; zero amounts mean no limit.
	Cap Resources
}
