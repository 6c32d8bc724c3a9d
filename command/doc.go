// Package command holds the commands of the anvilcourse binary, one per file.
// They exit with 0 on success, 1 on failure and 2 on wrong usage.
package command
