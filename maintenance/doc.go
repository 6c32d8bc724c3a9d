// Package maintenance plans the steps of maintenance waves: which VM drains
// next, which is confirmed empty and may restart, which returns to service,
// when spare VMs are lent and when a wave pauses by itself.
//
// Decide is a pure function of the control state, the observations and the
// time, so a process that takes over in the middle of a wave continues from
// the records alone. Each part of the planner handles one concern and adds its
// actions or the conditions for which a wave waits.
//
// Guarantee: no action that may end a task is planned before the VM's own task
// list, queried after every slot lease from before the drain has expired,
// shows no task. The reducer enforces the budgets; the planner only avoids
// records that would be rejected.
package maintenance
