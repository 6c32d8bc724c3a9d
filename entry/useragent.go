package entry

import "net/http"

// userAgent sets the entry's name as the User-Agent of every request.
type userAgent struct {
	name string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (u *userAgent) RoundTrip(req *http.Request) (*http.Response, error) {
	req.Header["User-Agent"] = []string{u.name}
	return u.next.RoundTrip(req)
}
