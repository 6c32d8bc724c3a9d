package command

import (
	"context"
	"net/url"

	"github.com/anvilcourse/anvilcourse/api"
)

// shown reads all objects of a collection, or the one of the name.
func shown[T any](ctx context.Context, client *api.Client, collection, name string) ([]T, error) {
	if name == "" {
		var list []T
		err := client.Get(ctx, collection, &list)
		return list, err
	}
	var one T
	err := client.Get(ctx, collection+"/"+url.PathEscape(name), &one)
	return []T{one}, err
}

// printShown prints the list, or the one object that was named, which can then
// be amended in a file.
func printShown[T any](c *operatorCommand, name string, list []T) error {
	if name == "" {
		return c.printJSON(list)
	}
	return c.printJSON(list[0])
}
