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

// Prefixes of the keys of drains. Plans are written by any controller over a version; cordons
// and charges by the leader alone, under its term.
const (
	DrainPlanPrefix = "drain/plan/"
	cordonPrefix    = "drain/cordon/"
	chargePrefix    = "drain/charge/"
)

// Errors of the plans of drains.
var (
	ErrUnknownPlan  = errors.New("unknown drain plan")
	ErrOtherPlan    = errors.New("another drain plan has this id")
	ErrPlanOver     = errors.New("the drain plan can't do that any more")
	errPlanContends = errors.New("the drain plan changes all the time")
)

// planTries bounds the tries to change a plan that others change as well.
const planTries = 5

// Drains reads all that is stored of drains.
func (j *Jobs) Drains(ctx context.Context) (drain.Stored, error) {
	var stored drain.Stored
	plans, _, err := j.DrainPlans(ctx)
	if err != nil {
		return stored, err
	}
	stored.Plans = plans
	items, _, err := j.store.List(ctx, cordonPrefix)
	if err != nil {
		return stored, err
	}
	for _, item := range items {
		page := drain.StoredMachines{Name: strings.TrimPrefix(item.Key, cordonPrefix), Version: item.ModRevision}
		if err := codec.Unmarshal(item.Value, &page.Record); err != nil {
			return stored, fmt.Errorf("%s: %w", item.Key, err)
		}
		stored.Machines = append(stored.Machines, page)
	}
	items, _, err = j.store.List(ctx, chargePrefix)
	if err != nil {
		return stored, err
	}
	for _, item := range items {
		page := drain.StoredCharges{Name: strings.TrimPrefix(item.Key, chargePrefix), Version: item.ModRevision}
		if err := codec.Unmarshal(item.Value, &page.Record); err != nil {
			return stored, fmt.Errorf("%s: %w", item.Key, err)
		}
		stored.Charges = append(stored.Charges, page)
	}
	return stored, nil
}

// DrainPlans reads all plans, and the revision to watch on from.
func (j *Jobs) DrainPlans(ctx context.Context) ([]drain.StoredPlan, uint64, error) {
	items, revision, err := j.store.List(ctx, DrainPlanPrefix)
	if err != nil {
		return nil, 0, err
	}
	var plans []drain.StoredPlan
	for _, item := range items {
		plan, err := DecodeDrainPlan(item)
		if err != nil {
			return nil, 0, err
		}
		plans = append(plans, plan)
	}
	return plans, revision, nil
}

// DecodeDrainPlan reads a plan from its item.
func DecodeDrainPlan(item statestore.KeyValue) (drain.StoredPlan, error) {
	stored := drain.StoredPlan{Version: item.ModRevision}
	if err := codec.Unmarshal(item.Value, &stored.Plan); err != nil {
		return stored, fmt.Errorf("%s: %w", item.Key, err)
	}
	return stored, nil
}

// DrainPlan reads a plan; ErrUnknownPlan if there is none of that name.
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

// CreateDrainPlan writes a new plan. A repeat of the request changes nothing and returns the
// plan as it now is; ErrOtherPlan if a plan of that name asks for something else.
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
	if err == nil && !stored.Plan.Same(&plan) {
		err = ErrOtherPlan
	}
	return stored, err
}

// ChangeDrainPlan takes a plan to another phase. One that is there already is left as it is.
func (j *Jobs) ChangeDrainPlan(ctx context.Context, id string, to drain.Phase) (drain.StoredPlan, error) {
	for range planTries {
		stored, err := j.DrainPlan(ctx, id)
		if err != nil || stored.Plan.Phase == to {
			return stored, err
		}
		if !stored.Plan.MoveTo(to) {
			return stored, fmt.Errorf("%w: it is %s", ErrPlanOver, stored.Plan.Phase)
		}
		version, err := j.putDrainPlan(ctx, nil, drain.PlanWrite{Plan: stored.Plan, Version: stored.Version})
		var conflict *statestore.ConflictError
		if !errors.As(err, &conflict) {
			stored.Version = version
			return stored, err
		}
	}
	return drain.StoredPlan{}, errPlanContends
}

// WriteDrainPlan writes the leader's change of a plan over the version that it knows.
func (j *Jobs) WriteDrainPlan(ctx context.Context, term leadership.Term, w drain.PlanWrite) error {
	_, err := j.putDrainPlan(ctx, []statestore.Compare{UnderTerm(term)}, w)
	return err
}

func (j *Jobs) putDrainPlan(ctx context.Context, conditions []statestore.Compare, w drain.PlanWrite) (uint64, error) {
	key := DrainPlanPrefix + w.Plan.ID
	conditions = append(conditions, statestore.Compare{Key: key, ModRevision: w.Version})
	if w.Drop {
		return j.store.Commit(ctx, conditions, []statestore.Op{statestore.Delete(key)})
	}
	value, err := codec.Marshal(w.Plan)
	if err != nil {
		return 0, err
	}
	return j.store.Commit(ctx, conditions, []statestore.Op{statestore.Put(key, value)})
}
