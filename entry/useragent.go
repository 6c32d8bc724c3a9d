package entry

import "net/http"

// userAgent names the entry in every request that passes.
type userAgent struct {
	name string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (u *userAgent) RoundTrip(req *http.Request) (*http.Response, error) {
	req.Header["User-Agent"] = []string{u.name}
	return u.next.RoundTrip(req)
}
