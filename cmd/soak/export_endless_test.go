package soak

import (
	"fmt"
	"os"
	"strings"

	"siskinspar.example/standin/application"
	"siskinspar.example/standin/loopback"
)

// StartStore starts the store with a configuration, for tests that start each instance themselves.
func (s *Soak) StartStore(configuration string) error {
	s.checker = NewChecker()
	discardProxyLogs()
	if err := s.startStore(); err != nil {
		return err
	}
	s.store.PutAsOperator("op", "config", []byte(configuration))
	return nil
}

// StartInstance starts a daemon with extra lines in its settings and a backend server of a service beside it. If advertised
// is set, the requests to the backend server go to that address instead.
func (s *Soak) StartInstance(service, settings, advertised string, slots int) error {
	n := len(s.instances)
	i := &instance{
		name: fmt.Sprintf("i%d", n), zone: "zone-0", service: service, host: loopback.Host(), directory: s.Directory, binary: s.Binary,
	}
	var err error
	if i.toStore, err = newProxy("store", i.address(portToStore), s.storeAddress); err != nil {
		return err
	}
	if i.toServer, err = newProxy("server", i.address(portToServer), i.address(portServer)); err != nil {
		return err
	}
	if err := i.writeSettings(settings); err != nil {
		return err
	}
	s.instances = append(s.instances, i)
	if err := i.start(); err != nil {
		return err
	}
	i.server = &application.Server{
		ID: i.name + "-1", Service: service, Address: i.address(portServer), AdvertisedAddress: advertised, DaemonAddress: i.address(portControl),
		DataCentre: i.zone, Slots: slots, ProcessingTime: serverProcessingTime, Heartbeat: heartbeat, Observer: s.checker,
	}
	return i.server.Start()
}

// ClientAddress returns the address at which a daemon serves clients.
func (s *Soak) ClientAddress(index int) string { return s.instances[index].address(portClients) }

// HasEnded reports whether the process of a daemon has ended.
func (s *Soak) HasEnded(index int) bool {
	select {
	case <-s.instances[index].process.Done():
		return true
	default:
		return false
	}
}

// PeakMemory returns the largest resident size of a daemon in bytes since its start or the last call of ResetPeakMemory.
func (s *Soak) PeakMemory(index int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.instances[index].process.ID()))
	if err != nil {
		return 0, err
	}
	var kilobytes int64
	_, after, _ := strings.Cut(string(content), "VmHWM:")
	_, err = fmt.Sscan(after, &kilobytes)
	return kilobytes << 10, err
}

// ResetPeakMemory makes PeakMemory count from now on.
func (s *Soak) ResetPeakMemory(index int) error {
	// The kernel takes 5 as the request to reset the peak of the resident size.
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", s.instances[index].process.ID()), []byte("5"), 0)
}

// StoreAddress returns the address of the store that StartStore started.
func (s *Soak) StoreAddress() string { return s.storeAddress }

// ConnectToStore makes the calls of all daemons go to the store at an address, and ends their connections to the former one.
func (s *Soak) ConnectToStore(address string) error {
	for _, i := range s.instances {
		i.toStore.Stop()
		i.toStore.Upstream = address
		if err := i.toStore.Start(); err != nil {
			return err
		}
	}
	return nil
}
