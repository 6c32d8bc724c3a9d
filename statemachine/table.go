package statemachine

import (
	"encoding/json"
	"iter"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Table is an immutable ordered map from text to values. Values must not be
// changed once they are in a table. The zero Table is empty.
type Table[T any] struct {
	tree *iradix.Tree[T]
}

// Get returns the value of the key.
func (t Table[T]) Get(key string) (T, bool) {
	if t.tree == nil {
		var zero T
		return zero, false
	}
	return t.tree.Get([]byte(key))
}

// Len returns the number of keys.
func (t Table[T]) Len() int {
	if t.tree == nil {
		return 0
	}
	return t.tree.Len()
}

// All yields the keys and values in the order of the keys.
func (t Table[T]) All() iter.Seq2[string, T] {
	return func(yield func(string, T) bool) {
		if t.tree == nil {
			return
		}
		t.tree.Root().Walk(func(k []byte, v T) bool { return !yield(string(k), v) })
	}
}

// Set returns a table in which the key has the value. Its cost grows with the
// length of the key, not with the size of the table.
func (t Table[T]) Set(key string, value T) Table[T] {
	tree := t.tree
	if tree == nil {
		tree = iradix.New[T]()
	}
	tree, _, _ = tree.Insert([]byte(key), value)
	return Table[T]{tree: tree}
}

// Delete returns a table without the key.
func (t Table[T]) Delete(key string) Table[T] {
	if t.tree == nil {
		return t
	}
	tree, _, _ := t.tree.Delete([]byte(key))
	return Table[T]{tree: tree}
}

// MarshalJSON writes the table as a JSON object.
func (t Table[T]) MarshalJSON() ([]byte, error) {
	out := make(map[string]T, t.Len())
	for k, v := range t.All() {
		out[k] = v
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads a table from a JSON object.
func (t *Table[T]) UnmarshalJSON(raw []byte) error {
	var in map[string]T
	if err := json.Unmarshal(raw, &in); err != nil {
		return err
	}
	txn := iradix.New[T]().Txn()
	for k, v := range in {
		txn.Insert([]byte(k), v)
	}
	t.tree = txn.Commit()
	return nil
}
