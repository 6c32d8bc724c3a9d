// Package examples holds the settings and catalogs of the two users that the
// project is built for.
package examples

import (
	"embed"

	"github.com/anvilcourse/anvilcourse/settings"
)

//go:embed apitt/*.json pakhtun/*.json
var files embed.FS

// Users are the folders of the users.
var Users = []string{"apitt", "pakhtun"}

// Catalog returns the checked catalog of a user.
func Catalog(user string) (settings.Catalog, error) {
	var out settings.Catalog
	err := read(user+"/catalog.json", &out)
	return out, err
}

// Standin returns the checked settings of a user's platform stand-in.
func Standin(user string) (settings.Standin, error) {
	out := settings.DefaultStandin()
	err := read(user+"/standin.json", &out)
	return out, err
}

func read(path string, out any) error {
	raw, err := files.ReadFile(path)
	if err != nil {
		return err
	}
	return settings.Decode(raw, out)
}
