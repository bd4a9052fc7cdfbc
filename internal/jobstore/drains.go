package jobstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"gingertally/internal/codec"
	"gingertally/internal/drain"
	"gingertally/internal/leadership"
	"gingertally/internal/statestore"
)

// Errors of operations on drain plans, which callers tell apart with errors.Is. Their texts are
// shown to operators.
var (
	// ErrUnknownPlan reports that no plan has this ID.
	ErrUnknownPlan = errors.New("unknown drain plan")
	// ErrOtherPlan reports that a plan with this ID exists and was requested with other parameters.
	ErrOtherPlan = errors.New("another drain plan has this id")
	// ErrPlanPhase reports that the plan's phase can't change to the requested one.
	ErrPlanPhase = errors.New("the drain plan can't do that any more")
	// errPlanContended reports that all attempts conflicted with other changes of the plan.
	errPlanContended = errors.New("the drain plan changes all the time")
)

// maxPlanAttempts is the number of attempts of a change of a plan that conflicts with other
// changes.
const maxPlanAttempts = 5

// Drains reads all that is stored about drains: plans, cordoned machines and charges to disruption
// budgets.
func (j *Jobs) Drains(ctx context.Context) (drain.Stored, error) {
	var stored drain.Stored
	var err error
	if stored.Plans, _, err = j.DrainPlans(ctx); err != nil {
		return stored, err
	}
	if stored.Machines, _, err = listAndDecode(ctx, j.store, cordonPrefix, decodeCordonPage); err != nil {
		return stored, err
	}
	stored.Charges, _, err = listAndDecode(ctx, j.store, chargePrefix, decodeChargePage)
	return stored, err
}

func decodeCordonPage(item statestore.KeyValue) (drain.StoredMachinePage, error) {
	page := drain.StoredMachinePage{Name: strings.TrimPrefix(item.Key, cordonPrefix), Version: item.ModRevision}
	err := decodeValue(item, &page.Record)
	return page, err
}

func decodeChargePage(item statestore.KeyValue) (drain.StoredChargePage, error) {
	page := drain.StoredChargePage{Name: strings.TrimPrefix(item.Key, chargePrefix), Version: item.ModRevision}
	err := decodeValue(item, &page.Record)
	return page, err
}

// DrainPlans reads all plans, and returns the revision from which a watch of them misses no change.
func (j *Jobs) DrainPlans(ctx context.Context) ([]drain.StoredPlan, uint64, error) {
	return listAndDecode(ctx, j.store, DrainPlanPrefix, DecodeDrainPlan)
}

// DecodeDrainPlan decodes a stored plan. Its error names the key and wraps codec.ErrMalformed.
func DecodeDrainPlan(item statestore.KeyValue) (drain.StoredPlan, error) {
	stored := drain.StoredPlan{Version: item.ModRevision}
	err := decodeValue(item, &stored.Plan)
	return stored, err
}

// DrainPlan reads a plan. The error is ErrUnknownPlan if no plan has this ID.
func (j *Jobs) DrainPlan(ctx context.Context, id string) (drain.StoredPlan, error) {
	item, found, err := j.store.Get(ctx, DrainPlanPrefix+id)
	switch {
	case err != nil:
		return drain.StoredPlan{}, err
	case !found:
		return drain.StoredPlan{}, ErrUnknownPlan
	}
	return DecodeDrainPlan(item)
}

// CreateDrainPlan stores a new plan, which begins in the phase drain.Running. A repeated request
// changes nothing and returns the stored plan. The error is ErrOtherPlan if the stored plan with
// this ID was requested with other parameters, and wraps drain.ErrBadPlan if the plan is invalid.
func (j *Jobs) CreateDrainPlan(ctx context.Context, plan drain.Plan, now time.Time) (drain.StoredPlan, error) {
	if err := plan.Check(); err != nil {
		return drain.StoredPlan{}, err
	}
	plan.CreatedMS, plan.Phase, plan.Through = now.UnixMilli(), drain.Running, ""
	version, err := j.putDrainPlan(ctx, nil, drain.PlanWrite{Plan: plan})
	var conflict *statestore.ConflictError
	if !errors.As(err, &conflict) {
		return drain.StoredPlan{Plan: plan, Version: version}, err
	}
	stored, err := j.DrainPlan(ctx, plan.ID)
	if err == nil && !stored.Plan.SameRequest(&plan) {
		err = ErrOtherPlan
	}
	return stored, err
}

// ChangeDrainPlan changes a plan's phase; a plan that is in that phase already is left as it is.
// The error wraps ErrPlanPhase if the present phase doesn't allow the change.
func (j *Jobs) ChangeDrainPlan(ctx context.Context, id string, to drain.Phase) (drain.StoredPlan, error) {
	for range maxPlanAttempts {
		stored, err := j.DrainPlan(ctx, id)
		if err != nil || stored.Plan.Phase == to {
			return stored, err
		}
		if !stored.Plan.MoveTo(to) {
			return stored, fmt.Errorf("%w: it is %s", ErrPlanPhase, stored.Plan.Phase)
		}
		version, err := j.putDrainPlan(ctx, nil, drain.PlanWrite{Plan: stored.Plan, Version: stored.Version})
		var conflict *statestore.ConflictError
		if !errors.As(err, &conflict) {
			stored.Version = version
			return stored, err
		}
	}
	return drain.StoredPlan{}, errPlanContended
}

// WriteDrainPlan stores or deletes a plan for the leader. The write is conditional on the leader's
// term and on the version of the plan that it knows.
func (j *Jobs) WriteDrainPlan(ctx context.Context, term leadership.Term, w drain.PlanWrite) error {
	_, err := j.putDrainPlan(ctx, []statestore.Compare{UnderTerm(term)}, w)
	return err
}

// putDrainPlan stores or deletes a plan if it has the version w.Version and the given conditions
// hold, and returns the revision of the transaction.
func (j *Jobs) putDrainPlan(ctx context.Context, conditions []statestore.Compare, w drain.PlanWrite) (uint64, error) {
	key := DrainPlanPrefix + w.Plan.ID
	conditions = append(conditions, statestore.Compare{Key: key, ModRevision: w.Version})
	if w.Delete {
		return j.store.Commit(ctx, conditions, []statestore.Op{statestore.Delete(key)})
	}
	value, err := codec.Marshal(w.Plan)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", key, err)
	}
	return j.store.Commit(ctx, conditions, []statestore.Op{statestore.Put(key, value)})
}
