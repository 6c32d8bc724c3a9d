package scheduler

import "github.com/anvilcourse/anvilcourse/fleet"

// unassignedRun is what a run that is not assigned uses on its worker, and how much of that
// counts against the limit of which team; nil for none.
type unassignedRun struct {
	use  fleet.Resources
	team *team
	need fleet.Resources
}

// unassignedRun returns what a run of a finished job or of an earlier attempt uses. One of a
// job that had finished at the takeover counts against its team's limit until it has been
// stopped, as it did for the leader before. One of an unknown job may use the worker's whole
// capacity; its team is not known.
func (s *Scheduler) unassignedRun(w *worker, id fleet.TaskID) unassignedRun {
	if t := s.findTask(id); t != nil {
		return unassignedRun{use: t.resources()}
	}
	if j, known := s.jobs[id.Job]; known && id.Step < len(j.sub.Steps) {
		return unassignedRun{use: j.sub.Steps[id.Step].ReservedResources()}
	}
	sub, known := s.previouslyFinished[id.Job]
	if !known || id.Step >= len(sub.Steps) {
		return unassignedRun{use: w.info.Capacity}
	}
	step := &sub.Steps[id.Step]
	return unassignedRun{use: step.ReservedResources(), team: s.teamByName(sub.Team), need: step.Need}
}

// countUnassigned counts the run until the next status, or until the worker has ended.
func (w *worker) countUnassigned(run unassignedRun) {
	w.unassignedUse = w.unassignedUse.Plus(run.use)
	if run.team == nil {
		return
	}
	if w.unassignedByTeam == nil {
		w.unassignedByTeam = map[*team]fleet.Resources{}
	}
	w.unassignedByTeam[run.team] = w.unassignedByTeam[run.team].Plus(run.need)
	run.team.used = run.team.used.Plus(run.need)
}

// forgetUnassigned ends the count of the runs that are not assigned.
func (w *worker) forgetUnassigned() {
	for t, use := range w.unassignedByTeam {
		t.used = t.used.Minus(use)
	}
	w.unassignedUse, w.unassignedByTeam = fleet.Resources{}, nil
}
