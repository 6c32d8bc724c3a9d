package settings

import "time"

// Entry configures one entry process.
type Entry struct {
	// Name is the entry's stable name, unique among the entries.
	Name string `json:"name" validate:"required,max=64" help:"the entry's stable name, unique among the entries"`
	// AvailabilityZone is the zone that the entry's VM is in.
	AvailabilityZone string `json:"availability_zone" validate:"required" help:"the zone that the entry's VM is in"`
	// Callers is the address for callers, an IP number and a port.
	Callers string `json:"callers" validate:"required,ip_port" help:"the address for callers, an IP number and a port"`
	// Operators is the address for operators, metrics and health.
	Operators string `json:"operators" validate:"required,ip_port" help:"the address for operators, metrics and health"`
	// Peers is the address for other entries.
	Peers string `json:"peers" validate:"required,ip_port" help:"the address for other entries"`
	// Platform is the base URL of the platform's log and VM list.
	Platform string `json:"platform" validate:"required,ip_url" help:"the base URL of the platform's log and VM list"`
	// Seeds are peer addresses to try while the log cannot be read.
	Seeds []string `json:"seeds" validate:"dive,ip_port" help:"peer addresses to try while the log cannot be read"`
	// OperatorKeyHashes are the SHA-256 hashes, in hex, of the operators' keys.
	OperatorKeyHashes []string `json:"operator_key_hashes" validate:"min=1,dive,len=64,hexadecimal" help:"the SHA-256 hashes, in hex, of the operators' keys"`
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"min=1,max=16777216" help:"bound of a caller's request body"`
	// ClientMemoryMB bounds what the entry holds of requests that clients send.
	ClientMemoryMB int64 `json:"client_memory_mb" validate:"min=1" help:"bound of what the entry holds of requests that clients send, in MB; never under two bodies"`
	// MaxClientConnections bounds clients' open connections; 0 derives it from MaxDescriptors.
	MaxClientConnections int `json:"max_client_connections" validate:"gte=0" help:"bound of clients' open connections; 0 for a half of the descriptors"`
	// MaxDescriptors is how many descriptors the entry may open; 0 for the process's limit.
	MaxDescriptors int64 `json:"max_descriptors" validate:"gte=0" help:"descriptors that the entry may open; 0 for the process's limit"`
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"min=4096" help:"bound of a request's headers"`
	// ClientStall is how long a request may stand still while it is sent or answered.
	ClientStall Duration `json:"client_stall" validate:"min=1" help:"how long a request may stand still while it is sent, or its answer while it is read"`
	// DefaultTimeout is the caller's patience when it names none.
	DefaultTimeout Duration `json:"default_timeout" validate:"min=1" help:"the caller's patience when it names none"`
	// StopTimeout bounds a graceful stop.
	StopTimeout Duration `json:"stop_timeout" validate:"min=1" help:"bound of a graceful stop"`
	// LogRetention is the time for which the platform's log keeps a record.
	LogRetention Duration `json:"log_retention" validate:"min=1" help:"the time for which the platform's log keeps a record"`
	// OrderStreams is the number of streams that the orders' claims are divided
	// over. The first entry to join fixes it for all.
	OrderStreams int `json:"order_streams" validate:"min=1,max=64" help:"number of streams of the orders' claims; the first entry fixes it for all"`
	// NoLoans keeps the entry from borrowing parts of upper limits from other
	// entries.
	NoLoans bool `json:"no_loans" help:"keep from borrowing parts of upper limits from other entries"`
	// JobStreams is the number of streams that the jobs are divided over. The
	// first entry to join fixes it for all.
	JobStreams int `json:"job_streams" validate:"min=1,max=64" help:"number of streams of the jobs; the first entry fixes it for all"`
	// LogAppendsPerSecond is the log's rate of appends that the entries share.
	LogAppendsPerSecond int `json:"log_appends_per_second" validate:"min=1" help:"the log's rate of appends a second that the entries share"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `json:"log_level" validate:"oneof=trace debug info warn error" help:"the lowest level that is logged"`
}

// DefaultEntry returns the values of the members that may be left out.
func DefaultEntry() Entry {
	return Entry{
		MaxBodyBytes:        1 << 20,
		ClientMemoryMB:      64,
		MaxHeaderBytes:      32 << 10,
		ClientStall:         Duration(5 * time.Second),
		DefaultTimeout:      Duration(10 * time.Second),
		StopTimeout:         Duration(30 * time.Second),
		LogRetention:        Duration(10 * time.Minute),
		OrderStreams:        2,
		JobStreams:          2,
		LogAppendsPerSecond: 300,
		LogLevel:            "info",
	}
}
