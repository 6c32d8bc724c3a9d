package pressure

import (
	"strings"
	"testing"
)

// connectedCrowd is a crowd of which each client has a connection: the bytes alone bound
// what the entry holds.
const connectedCrowd = 400

func startConnected(t *testing.T) entryUnderTest { return startPlatformWith(t, connectedCrowd+20) }

func TestConnected_AnnouncedShortOfTheEnd(t *testing.T) {
	e := startConnected(t)
	e.check(t, connectedCrowd, announcedShort(e.content, e.maxBody))
}

func TestConnected_PiecesShortOfTheEnd(t *testing.T) {
	e := startConnected(t)
	e.check(t, connectedCrowd, piecesShort(e.content, e.maxBody))
}

func TestConnected_LargeChunksShortOfTheEnd(t *testing.T) {
	e := startConnected(t)
	e.check(t, connectedCrowd, chunkedShort(e.content, e.maxBody, 32<<10))
}

func TestConnected_TinyChunksShortOfTheEnd(t *testing.T) {
	e := startConnected(t)
	e.check(t, connectedCrowd, tinyChunksShort(e.content, e.maxBody, 8))
}

func TestConnected_FarOverAnnounced(t *testing.T) {
	e := startConnected(t)
	e.check(t, connectedCrowd, overAnnounced(900<<10))
}

func TestConnected_FarOverSent(t *testing.T) {
	e := startConnected(t)
	e.check(t, connectedCrowd, overSent(960<<10))
}

func TestConnected_WholeOfManySteps(t *testing.T) {
	e := startConnected(t)
	steps := strings.Repeat("{},", (e.maxBody-100)/3)
	e.check(t, connectedCrowd, whole(`{"spec":"short","phases":[`+steps+`{}]}`, e.maxBody))
}

func TestConnected_HeadersWithoutEnd(t *testing.T) {
	e := startConnected(t)
	e.check(t, connectedCrowd, headersWithoutEnd(200<<10))
}

func TestConnected_SlowReaders(t *testing.T) {
	e := startConnected(t)
	e.check(t, connectedCrowd, slowReader(e.stateRequest, 500))
}
