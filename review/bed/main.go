// Command bed plays one case of the review against the built program: the entries run as
// processes of their own, with stand-ins of the platform, the workers and the clients.
//
//	bed CASE PROGRAM DIR
//
// It writes DIR/record.txt, and exits with 1 if a rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// longest is how long a case may take.
const longest = 110 * time.Second

var cases = map[string]func(b *bed, trouble bool, program string){
	"kind":     playKind,
	"tickets":  playTickets,
	"lease":    playLease,
	"schedule": playSchedule,
}

func main() { os.Exit(play()) }

func play() (code int) {
	const want = 4
	if len(os.Args) != want || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE PROGRAM DIR")
		return 2
	}
	b := newBed(os.Args[3])
	time.AfterFunc(longest, func() {
		b.close()
		fmt.Fprintln(os.Stderr, "the case cannot run: it takes too long")
		os.Exit(2)
	})
	defer func() {
		failure := recover()
		breaches := b.close()
		for _, text := range breaches {
			fmt.Println(text)
		}
		switch {
		case failure != nil:
			fmt.Fprintln(os.Stderr, failure)
			code = 2
		case len(breaches) > 0:
			code = 1
		}
	}()
	cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0", os.Args[2])
	return 0
}
