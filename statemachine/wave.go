package statemachine

// waveCommands are the commands that carry out maintenance.
var waveCommands = map[Kind]newCommand{}
