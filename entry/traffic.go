package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/anvilcourse/anvilcourse/netcount"
	"github.com/anvilcourse/anvilcourse/peer"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/settings"
)

const peerDialTimeout = 500 * time.Millisecond

// traffic counts the bytes of the entry's control traffic.
type traffic struct {
	// platform counts the log and the VM list.
	platform netcount.Counter
	// peers counts the messages between entries, both those that this entry
	// sends and those that it receives.
	peers netcount.Counter
}

func newTraffic() *traffic {
	return &traffic{}
}

// controlClient is the HTTP client for the log and the VM list. Its traffic
// is counted.
type controlClient struct{ *http.Client }

// workerClient is the HTTP client for tasks.
type workerClient struct{ *http.Client }

// newControlClient returns a client that sends the entry's name to the platform in
// the User-Agent header.
func newControlClient(s settings.Entry, t *traffic) controlClient {
	client := provider.NewHTTPClient()
	if transport, ok := client.Transport.(*http.Transport); ok {
		transport.DialContext = t.platform.Dial(transport.DialContext)
		transport.DisableCompression = false
	}
	client.Transport = &userAgent{name: s.Name, next: client.Transport}
	return controlClient{client}
}

func newWorkerClient(s settings.Entry) workerClient {
	client := provider.NewHTTPClient()
	client.Transport = &userAgent{name: s.Name, next: client.Transport}
	return workerClient{client}
}

func newPeerClient(t *traffic) *peer.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return peer.NewClient(peer.DialFunc(t.peers.Dial(dialer.DialContext)))
}
