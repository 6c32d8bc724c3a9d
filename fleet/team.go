package fleet

// Team is a team with its fair-share weight and its resource limit. Its JSON form is part
// of stored jobs.
type Team struct {
	Name string `json:"n,omitempty"`
	// Weight is the fair-share weight when the fleet is full.
	Weight int64 `json:"w,omitempty"`
	// Cap limits what runs at once; zero amounts mean no limit.
	Cap Resources `json:"c,omitzero"`
}
