package fleet

// Team is a team with its fair-share weight and its resource limit.
type Team struct {
	Name string
	// Weight is the fair-share weight when the fleet is full.
	Weight int64
	// Cap limits what runs at once; zero amounts mean no limit.
	Cap Resources
}
