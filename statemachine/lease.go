package statemachine

// leaseCommands are the commands that grant and renew leases.
var leaseCommands = map[Kind]newCommand{}
