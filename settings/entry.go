package settings

import "time"

// Entry configures one entry process.
type Entry struct {
	// Name is the entry's stable name, unique among the entries.
	Name string `json:"name" validate:"required,max=64"`
	// AvailabilityZone is the zone that the entry's VM is in.
	AvailabilityZone string `json:"availability_zone" validate:"required"`
	// Callers is the address for callers, an IP number and a port.
	Callers string `json:"callers" validate:"required,ip_port"`
	// Operators is the address for operators, metrics and health.
	Operators string `json:"operators" validate:"required,ip_port"`
	// Peers is the address for other entries.
	Peers string `json:"peers" validate:"required,ip_port"`
	// Platform is the base URL of the platform's log and VM list.
	Platform string `json:"platform" validate:"required,ip_url"`
	// Seeds are peer addresses to try while the log cannot be read.
	Seeds []string `json:"seeds" validate:"dive,ip_port"`
	// OperatorKeyHashes are the SHA-256 hashes, in hex, of the operators' keys.
	OperatorKeyHashes []string `json:"operator_key_hashes" validate:"min=1,dive,len=64,hexadecimal"`
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"min=1,max=16777216"`
	// DefaultTimeout is the caller's patience when it names none.
	DefaultTimeout Duration `json:"default_timeout" validate:"min=1"`
	// StopTimeout bounds a graceful stop.
	StopTimeout Duration `json:"stop_timeout" validate:"min=1"`
	// NoLoans keeps the entry from borrowing parts of upper limits from other
	// entries.
	NoLoans bool `json:"no_loans"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `json:"log_level" validate:"oneof=trace debug info warn error"`
}

// DefaultEntry returns the values of the members that may be left out.
func DefaultEntry() Entry {
	return Entry{
		MaxBodyBytes:   1 << 20,
		DefaultTimeout: Duration(10 * time.Second),
		StopTimeout:    Duration(30 * time.Second),
		LogLevel:       "info",
	}
}
