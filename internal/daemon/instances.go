package daemon

import (
	"errors"
	"log/slog"
	"time"

	"gingertally/internal/cloud"
	"gingertally/internal/core"
)

const (
	// scaleOutTries is how often a rental is asked for again when there is no answer.
	scaleOutTries = 4
	scaleOutRetry = time.Second
)

// scaleOut asks the cloud for machines, and brings the engine the answer.
func (s *leaderSession) scaleOut(request core.ScaleOut) {
	result := core.ScaleOutAnswered{Request: request, OutcomeUnknown: true}
	for try := 0; try < scaleOutTries && s.holdsLease(); try++ {
		names, err := s.daemon.cloud.ScaleOut(s.ctx, request)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			result.Machines, result.NoCapacity, result.OutcomeUnknown = names, err != nil, false
			break
		}
		slog.Debug("rent", "error", err)
		if !sleep(s.ctx, scaleOutRetry) {
			break
		}
	}
	s.step(result)
}

// scaleIn gives machines back, and brings the engine the outcome.
func (s *leaderSession) scaleIn(names []string) {
	released := false
	if s.holdsLease() {
		err := s.daemon.cloud.ScaleIn(s.ctx, names)
		released = err == nil
		if !released {
			slog.Debug("release", "error", err)
		}
	}
	s.step(core.ScaleInAnswered{Machines: names, OK: released})
}

const (
	// listLeast is how often the cloud's list is read at the most.
	listLeast = 2 * time.Second
	// pricesEvery is how often the present prices are read.
	pricesEvery = 20 * time.Second
)

// listLoop reads the cloud's list and the present prices.
func (s *leaderSession) listLoop() error {
	// More often than the list's lag says little new, and takes calls from rentals.
	every := max(listLeast, s.daemon.coreConfig.InstanceListLag/2)
	var pricesRead time.Time
	for {
		if s.holdsLease() {
			if time.Since(pricesRead) > pricesEvery && s.readPrices() {
				pricesRead = time.Now()
			}
			s.readList()
		}
		if !sleep(s.ctx, every) {
			return s.ctx.Err()
		}
	}
}

// readPrices brings the engine the machine types with present prices; false if they
// can't be had.
func (s *leaderSession) readPrices() bool {
	if s.daemon.fetchCatalog(s.ctx) != nil {
		return false
	}
	s.step(core.CatalogUpdated{Types: s.daemon.types()})
	s.daemon.shareCatalog(s.ctx, s.term)
	return true
}

// readList brings the engine the cloud's list of machines.
func (s *leaderSession) readList() {
	instances, err := s.daemon.cloud.ListInstances(s.ctx)
	if err != nil {
		slog.Debug("list machines", "error", err)
		return
	}
	s.step(core.InstancesListed{Instances: instances})
}
