package statemachine

// jobCommands are the commands that accept and carry out jobs.
var jobCommands = map[Kind]newCommand{}
