package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	edge "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Order implements edge.ServerOrders. It refuses an order with an older fencing number than the newest one that it has seen
// for the availability zone.
func (m *Memory) Order(ctx context.Context, order edge.ServerOrder) error {
	err := m.applyWrite(ctx, KindOrder, func() error {
		if order.Fencing < m.fencing[order.AvailabilityZone] && !m.faults.IgnoreFencing {
			return edge.ErrFenced
		}
		m.fencing[order.AvailabilityZone] = max(order.Fencing, m.fencing[order.AvailabilityZone])
		order.Drained = slices.Clone(order.Drained)
		m.orders = append(m.orders, order)
		m.fleet.order(m.clock(), order, m.faults)
		return nil
	})
	return errors.Wrapf(err, "%s/%s", order.AvailabilityZone, order.Pool)
}

// Orders returns the orders that took effect, oldest first.
func (m *Memory) Orders() []edge.ServerOrder {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.orders)
}

// Report implements edge.UsageReports. A second report under the same name but with other bytes is not stored; it is recorded
// as a violation and refused with ErrConflict.
func (m *Memory) Report(ctx context.Context, name string, raw json.RawMessage) error {
	err := m.applyWrite(ctx, KindReport, func() error {
		known, ok := m.reports[name]
		if ok && !bytes.Equal(known, raw) {
			m.violations = append(m.violations, name)
			return edge.ErrConflict
		}
		m.reports[name] = bytes.Clone(raw)
		return nil
	})
	return errors.Wrap(err, name)
}

// ReportsByName returns the usage reports as they were received, by name.
func (m *Memory) ReportsByName() map[string]json.RawMessage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.reports)
}

// Violations returns the names under which a second report with other bytes was received.
func (m *Memory) Violations() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.violations)
}

// SetHosts replaces the hosts that can run.
func (m *Memory) SetHosts(hosts []edge.Host) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.fleet.load(hosts)
}

// Hosts implements edge.HostList. It returns all entries and the agents that were ordered, as of ListLagMilliseconds ago.
func (m *Memory) Hosts(ctx context.Context) ([]edge.Host, error) {
	if err := m.beginRead(ctx, KindHosts); err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lag := time.Duration(m.faults.ListLagMilliseconds) * time.Millisecond
	return m.fleet.list(m.clock().Add(-lag)), nil
}

// State is the content of the stand-in, for tests and its state page.
type State struct {
	Version    edge.Version               `json:"version"`
	Objects    []string                   `json:"objects"`
	Calls      map[CallKind]int           `json:"calls"`
	Refused    int                        `json:"refused"`
	Lost       int                        `json:"lostAnswers"`
	Orders     []edge.ServerOrder         `json:"orders"`
	Reports    map[string]json.RawMessage `json:"reports"`
	Violations []string                   `json:"violations"`
	Faults     Faults                     `json:"faults"`
}

// State returns the content of the stand-in.
func (m *Memory) State() State {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return State{
		Version:    m.version,
		Objects:    slices.Sorted(maps.Keys(m.objects)),
		Calls:      maps.Clone(m.calls),
		Refused:    m.refused,
		Lost:       m.lostAnswers,
		Orders:     slices.Clone(m.orders),
		Reports:    maps.Clone(m.reports),
		Violations: slices.Clone(m.violations),
		Faults:     m.faults,
	}
}
