// Package settings loads and checks the JSON settings of the daemons. Unknown
// members are refused, and each fault is named by its path and by what would
// be right.
package settings
