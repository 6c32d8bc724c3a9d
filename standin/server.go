package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	trimInterval      = time.Second
	readHeaderTimeout = 5 * time.Second
)

// Server is the running stand-in.
type Server struct {
	listener net.Listener
	http     *http.Server
	log      *log
	fleet    *fleet
	cancel   context.CancelFunc
}

// Start listens at the address of the settings and serves until Close.
func Start(s settings.Standin) (*Server, error) {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	srv := &Server{
		listener: listener,
		log:      newLog(s.AppendsPerSecond, s.Retention.Duration()),
		fleet:    newFleet(vmInfos(s, "http://"+listener.Addr().String())),
		cancel:   cancel,
	}
	mux := http.NewServeMux()
	srv.log.register(mux)
	srv.fleet.register(mux)
	srv.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go srv.maintain(ctx, s.ListLag.Duration())
	go func() { _ = srv.http.Serve(listener) }()
	return srv, nil
}

// URL is the base URL of the stand-in.
func (s *Server) URL() string {
	return "http://" + s.listener.Addr().String()
}

// ExecutionRecord returns the account of what ran.
func (s *Server) ExecutionRecord() ExecutionRecord {
	return s.fleet.recorder.snapshot()
}

// Close stops the stand-in and cuts all its connections.
func (s *Server) Close() error {
	s.cancel()
	return s.http.Close()
}

// maintain trims the log and refreshes the VM list.
func (s *Server) maintain(ctx context.Context, listLag time.Duration) {
	trim := time.NewTicker(trimInterval)
	defer trim.Stop()
	refresh := time.NewTicker(listLag)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-trim.C:
			s.log.trimAll(now)
		case <-refresh.C:
			s.fleet.refresh()
		}
	}
}

// vmInfos lays the VMs of the settings out over racks and availability zones.
func vmInfos(s settings.Standin, base string) []provider.VMInfo {
	var out []provider.VMInfo
	index := 0
	for _, pool := range s.Pools {
		for range pool.VMs {
			id := fmt.Sprintf("vm-%03d", index)
			rack := index / s.VMsPerRack
			out = append(out, provider.VMInfo{
				ID:               id,
				Address:          base + "/vms/" + id,
				Pool:             pool.Name,
				AvailabilityZone: s.AvailabilityZones[rack%len(s.AvailabilityZones)],
				Rack:             fmt.Sprintf("rack-%02d", rack),
				Slots:            s.Slots,
				Connections:      s.Connections,
				State:            provider.VMActive,
			})
			index++
		}
	}
	return out
}
