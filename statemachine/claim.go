package statemachine

// claimCommands are the commands that claim and settle orders.
var claimCommands = map[Kind]newCommand{}
