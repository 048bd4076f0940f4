package slope

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinspar.example/declaration"
	"siskinspar.example/membership"
	"siskinspar.example/versionlog"
)

// IntentsPerService is the number of intents that NewSet declares for each service.
const IntentsPerService = 2

// NewSet returns the declarations of a mesh with the given number of services and their intents.
//
// The intents of a service apply to the proxies with its group label. An invalid declaration is an error.
func NewSet(services int) (declaration.Set, error) {
	var entries []declaration.Entry
	for i := range services {
		name := fmt.Sprintf("service-%05d", i)
		e, err := declaration.NewServiceEntry(declaration.Service{Name: name, BackendServers: declaration.Selector{"service": name}})
		if err != nil {
			return declaration.Set{}, err
		}
		entries = append(entries, e)
		for k := range IntentsPerService {
			e, err := declaration.NewIntentEntry(declaration.Intent{
				Name: fmt.Sprintf("intent-%05d-%d", i, k), Target: name, Proxies: declaration.Selector{"group": GroupLabel(i)},
				Match: declaration.Match{PathPrefix: fmt.Sprintf("/s%d/%d", i, k)}, Timeout: 2 * time.Second,
			})
			if err != nil {
				return declaration.Set{}, err
			}
			entries = append(entries, e)
		}
	}
	return declaration.NewSet(entries...), nil
}

// ServicesPerGroup is the number of services with the same group label, whose intents one proxy carries.
const ServicesPerGroup = 20

// GroupLabel returns the value of the label "group" for the service with the given index.
func GroupLabel(service int) string { return fmt.Sprintf("group-%d", service/ServicesPerGroup) }

// NewRecord returns the membership record of daemon i with one backend server.
//
// Services and data centres are assigned in turn, with three data centres in each region.
func NewRecord(i, services, centres int) membership.Record {
	service := i % services
	return membership.Record{
		ID:              membership.ID(fmt.Sprintf("instance-%05d", i)),
		DataCentre:      membership.DataCentre(fmt.Sprintf("region-%02d-%c", (i%centres)/3, 'a'+(i%centres)%3)),
		PeerAddress:     fmt.Sprintf("10.%d.%d.%d:7002", i/65536, i/256%256, i%256),
		OperatorAddress: fmt.Sprintf("10.%d.%d.%d:7003", i/65536, i/256%256, i%256),
		Labels:          []membership.Label{{Key: "group", Value: GroupLabel(service)}},
		BackendServers: []membership.BackendServer{{
			Name: fmt.Sprintf("backend-%05d", i), Slots: 10,
			Labels: []membership.Label{{Key: "service", Value: fmt.Sprintf("service-%05d", service)}},
		}},
		Incarnation: 1,
	}
}

// NewMachine returns the membership machine of daemon 0 that knows the given number of daemons, itself included.
//
// Its random numbers have a fixed seed, and the events of the merge are already taken.
func NewMachine(daemons, services, centres int) *membership.Machine {
	m := membership.NewMachine(NewRecord(0, services, centres), membership.DefaultTiming, rand.New(rand.NewPCG(1, 1)))
	var records []membership.Record
	for i := 1; i < daemons; i++ {
		records = append(records, NewRecord(i, services, centres))
	}
	m.Merge(time.Unix(1, 0), records)
	m.TakeEvents()
	m.TakeChangedIDs()
	return m
}

// NewState returns the state at version 1000 that holds the set, or the error of versionlog.Restore.
func NewState(s declaration.Set) (versionlog.State, error) {
	image := versionlog.Image{Version: 1000, Digest: s.Digest()}
	for _, e := range s.Edits() {
		image.Entries = append(image.Entries, versionlog.ImageEntry{Edit: e, Origin: versionlog.Origin{Version: 1, RequestID: "fixture", Operator: "fixture"}})
	}
	return versionlog.Restore(image)
}

// NewChange returns the change that lengthens the timeout of the service's first intent by 1 ms.
//
// The state must hold a set from NewSet. The error tells why the change was not planned.
func NewChange(s versionlog.State, service int, at time.Time) (versionlog.Change, error) {
	key := declaration.Key{Kind: declaration.KindIntent, Name: fmt.Sprintf("intent-%05d-0", service)}
	e, _ := s.Set().Find(key)
	intent := *e.Intent()
	intent.Timeout += time.Millisecond
	changed, err := declaration.NewIntentEntry(intent)
	if err != nil {
		return versionlog.Change{}, err
	}
	change, results := versionlog.Plan(s, []versionlog.Submission{{
		RequestID: versionlog.RequestID(fmt.Sprintf("change-%d", s.Version())), Operator: "fixture",
		Proposals: []versionlog.Proposal{{Edit: declaration.Edit{Key: key, Content: changed.Content()}, Base: s.Origin(key).Version}},
	}}, at)
	return change, results[0].Err()
}
