// Package pressure tests an entry beside clients that press on its memory: a small crowd
// against the real process, whose limits its settings lower. Both forms of the entry face
// the same crowds.
package pressure
