package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/sidecar/route"
)

// directory lists the backend servers of the other daemons together with the one of this daemon.
type directory struct {
	table      *member.Table
	owner      *owner.Owner
	address    string
	dataCentre string
}

// Candidates implements entry.Directory.
func (d *directory) Candidates(now time.Time, service string) []member.Candidate {
	found := d.table.Candidates(now, service)
	s, load := d.owner.Server()
	if s.State == member.Ready && s.Service == service {
		found = append(found, member.Candidate{Address: d.address, DataCentre: d.dataCentre, Server: s, Load: load})
	}
	return found
}

// RecordLoad implements entry.Directory.
func (d *directory) RecordLoad(now time.Time, address string, l member.Load) {
	d.table.RecordLoad(now, address, l)
}

// RecordSent implements entry.Directory.
func (d *directory) RecordSent(address string) { d.table.RecordSent(address) }

// RecordUnreachable implements entry.Directory.
func (d *directory) RecordUnreachable(address string) { d.table.RecordUnreachable(time.Now(), address) }

// RecordLeaving implements entry.Directory. The owner of this daemon knows it already.
func (d *directory) RecordLeaving(address string, s member.Server) { d.table.RecordLeaving(address, s) }

// Daemons implements entry.Directory.
func (d *directory) Daemons() int { return d.table.Len() + 1 }

// owners calls the owner of this daemon directly and those of other daemons over net/rpc.
type owners struct {
	address string
	local   *owner.Owner
	pool    *peer.Pool
}

// Call implements entry.Owners.
func (o *owners) Call(ctx context.Context, address string, c *message.Call) (message.Reply, bool, error) {
	if address == o.address {
		return o.callLocal(ctx, c)
	}
	reply := new(message.Reply)
	err := o.pool.Connection(address, trafficClass(c.Job.Kind)).Call(ctx, peer.ServiceName+".Call", c, reply)
	if err != nil {
		return message.Reply{}, !errors.Is(err, peer.ErrNotSent), err
	}
	return *reply, true, nil
}

// callLocal is Call for the owner of this daemon.
func (o *owners) callLocal(ctx context.Context, c *message.Call) (message.Reply, bool, error) {
	result := make(chan message.Reply, 1)
	go func() { result <- o.local.Call(*c) }()
	select {
	case r := <-result:
		return r, true, nil
	case <-ctx.Done():
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		// The owner ends the call earlier, at its deadline or in Expire, and may have an answer that has arrived.
		return <-result, true, nil
	}
	return message.Reply{}, true, ctx.Err()
}

// Resume implements entry.Owners.
func (o *owners) Resume(ctx context.Context, address string, kind route.Kind, r message.Resumption) (message.Reply, bool, error) {
	connection := o.pool.Connection(address, trafficClass(kind))
	reply := new(message.Reply)
	if err := connection.Call(ctx, peer.ServiceName+".Resume", &r, reply); err != nil {
		return message.Reply{}, connection.IsRefused(), err
	}
	return *reply, false, nil
}

// trafficClass returns the class of the calls for requests of a kind.
func trafficClass(k route.Kind) peer.TrafficClass {
	if k.IsLarge() {
		return peer.TrafficBulk
	}
	return peer.TrafficControl
}

// Reserve implements entry.Owners.
func (o *owners) Reserve(ctx context.Context, address string, j message.Job) (message.Grant, error) {
	if address == o.address {
		return o.local.Reserve(j), nil
	}
	reply := new(message.Grant)
	if err := o.pool.Connection(address, peer.TrafficControl).Call(ctx, peer.ServiceName+".Reserve", &j, reply); err != nil {
		return message.Grant{}, err
	}
	return *reply, nil
}

// withdrawTimeout bounds the call that cancels a reservation or a call at another daemon.
const withdrawTimeout = time.Second

// Withdraw implements entry.Owners.
func (o *owners) Withdraw(address string, w message.Withdrawal) {
	if address == o.address {
		o.local.Withdraw(w)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
		defer cancel()
		// The error is ignored: the slot of a reservation that can't be cancelled is freed when the grant expires, and a
		// call ends at its deadline at the latest.
		_ = o.pool.Connection(address, peer.TrafficControl).Call(ctx, peer.ServiceName+".Withdraw", &w, &message.Empty{})
	}()
}

// meter counts requests in the metrics registry.
type meter struct{ registry metrics.Registry }

// Count implements entry.Meter.
func (m meter) Count(o message.Outcome, status int, took time.Duration) {
	name := "entry." + o.String()
	if status/100 != 2 {
		name += ".failed"
	}
	metrics.GetOrRegisterTimer(name, m.registry).Update(took)
}

// record returns the record that the daemon sends of itself, with a new sequence.
func (s *Sidecar) record() member.Record {
	server, load := s.owner.Server()
	return member.Record{
		Address: s.Settings.Daemons, DataCentre: s.Settings.DataCentre, Incarnation: s.incarnation,
		Sequence: s.sequence.Add(1), Server: server, Load: load, IsStopping: s.isStopping.Load(), IsStoreDown: s.isStoreDown(time.Now()),
	}
}
