// Package maintenance decides the steps of maintenance waves: which VM drains
// next, which is seen empty and may restart, which returns, when spare VMs are
// lent and when a wave stops by itself.
//
// Plan is a pure function of the control state, of what was observed and of
// the time. A process that takes over in the middle of a wave plans on from
// the records alone. Each watcher has one job and adds its actions or the
// conditions for which a wave waits.
//
// Guarantee: no action that may end a task is planned before the VM's own
// record, asked after every slot lease from before the drain has lapsed, shows
// no task. The budgets are kept by the reducer; the planner only spares it
// records that would be void.
package maintenance
