package capacity

import (
	"context"
	"net"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	standin "github.com/oleandershelf/oleandershelf/internal/standin/platform"
)

// newPlatform serves a stand-in of the platform that has the given host list and the orders that start its agents.
func newPlatform(ctx context.Context, l net.Listener, hosts []platform.Host) (*standin.Server, error) {
	server, err := standin.New(ctx, l, standin.WithHosts(hosts))
	if err != nil {
		return nil, err
	}
	for _, order := range agentOrders(hosts) {
		if err := server.Order(ctx, order); err != nil {
			return nil, err
		}
	}
	return server, nil
}

// agentOrders returns the orders that start all agents of the list, one per availability zone and pool.
func agentOrders(hosts []platform.Host) []platform.ServerOrder {
	var orders []platform.ServerOrder
	indexes := map[[2]string]int{}
	for _, host := range hosts {
		if host.Role != platform.RoleAgent {
			continue
		}
		group := [2]string{host.AvailabilityZone, host.Pool}
		i, ok := indexes[group]
		if !ok {
			i = len(orders)
			indexes[group] = i
			orders = append(orders, platform.ServerOrder{AvailabilityZone: host.AvailabilityZone, Pool: host.Pool})
		}
		orders[i].Count++
	}
	return orders
}

// modelTicket returns a ticket that creates eight organisations, a pool of engines in the measured zone and the given
// number of trainer jobs.
func modelTicket(servers, jobs int) ticket.Ticket {
	t := newTicket(8, 1)
	t.Pools = []ticket.Pool{{
		Name: modelPool, Kind: ticket.KindModel, Model: modelPool, AvailabilityZones: []string{measuredZone},
		MinServers: servers, MaxServers: servers, Concurrency: maxStreams,
	}}
	for i := range jobs {
		t.TrainerJobs = append(t.TrainerJobs, ticket.TrainerJob{
			Name: jobName(i), Organisation: t.Organisations[0].Name, Model: modelPool,
			BatchSize: batchSize, StalenessBound: 1, MaxTokens: sampleTokens,
		})
	}
	return t
}
