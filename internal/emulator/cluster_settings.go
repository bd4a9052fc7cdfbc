package emulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"

	"gingertally/internal/config"
)

// startControllers writes the controllers' settings files and starts their processes.
func (c *Cluster) startControllers(endpoints config.Endpoints) error {
	count := c.options.Controllers
	addrs, err := freeAddrs(2 * count)
	if err != nil {
		return err
	}
	clientAddrs, peerAddrs := addrs[:count], addrs[count:]
	for i := range count {
		controller, err := c.newController(c.settings(i, clientAddrs[i], peerAddrs, endpoints))
		if err != nil {
			return err
		}
		c.Controllers = append(c.Controllers, controller)
		if err := controller.Start(); err != nil {
			return err
		}
	}
	return nil
}

// freeAddrs returns addresses on which nothing listens. Their host is a random loopback address, which
// in practice no other cluster uses: while a controller is down, no server of another cluster takes its
// port.
func freeAddrs(count int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	var listeners []net.Listener
	var addrs []string
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		listeners, addrs = append(listeners, listener), append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

func controllerName(i int) string { return fmt.Sprintf("n-%d", i) }

// settings returns the settings that the platform would give to the i-th controller.
func (c *Cluster) settings(i int, clientAddr string, peerAddrs []string, endpoints config.Endpoints) *config.Settings {
	settings := &config.Settings{
		Member: controllerName(i), Zone: zoneOf(i), ClientListen: clientAddr, PeerListen: peerAddrs[i],
		Endpoints: endpoints,
		Deployment: config.Deployment{
			Zones: zones, Teams: c.options.Teams,
			Workers:   workerSettings(c.options.Timings),
			State:     config.StateLimits{RPS: 500, WriteRPS: 200, ValueKB: 16, TxnOps: 32},
			Cloud:     config.CloudLimits{RPS: 20, ListLag: 0.5},
			Resources: config.Resources{CPUShare: 1, MemoryMB: 200, MaxSockets: 2000},
			SkewMS:    20,
		},
	}
	for k, addr := range peerAddrs {
		if k != i {
			settings.Peers = append(settings.Peers, config.Peer{Member: controllerName(k), Zone: zoneOf(k), Addr: addr})
		}
	}
	return settings
}

// newController writes the settings files of a controller and returns the controller, which isn't
// started.
func (c *Cluster) newController(settings *config.Settings) (*Controller, error) {
	file := func(suffix string) string { return filepath.Join(c.options.Directory, settings.Member+suffix) }
	controller := &Controller{
		Name: settings.Member, Addr: settings.ClientListen,
		settings: file(".json"), log: file(".log"), command: c.options.Command,
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(controller.settings, text, 0o600); err != nil {
		return nil, err
	}
	if c.options.OperatorSettings == "" {
		return controller, nil
	}
	controller.operator = file(".txtpb")
	return controller, os.WriteFile(controller.operator, []byte(c.options.OperatorSettings), 0o600)
}
