package sillscaler

import (
	"context"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// listIndex is the platform's instance list with the set of listed ids.
type listIndex struct {
	list   sillinstance.List
	listed map[sillid.InstanceID]bool
}

func indexList(list sillinstance.List) listIndex {
	x := listIndex{list: list, listed: make(map[sillid.InstanceID]bool, len(list.Instances))}
	for _, inst := range list.Instances {
		x.listed[inst.ID] = true
	}
	return x
}

// input returns the input of a zone's decision except its loads. Starts count
// until their instance is listed, stops until theirs is no longer listed.
func (x listIndex) input(cfg ZoneConfig, entries []*entry) Input {
	in := Input{Stopping: make(map[sillid.InstanceID]bool)}
	for _, inst := range x.list.Instances {
		if inst.Pool == cfg.Pool && inst.Zone == cfg.Zone {
			in.Instances = append(in.Instances, inst)
		}
	}
	for _, e := range entries {
		if e.Order.Pool != cfg.Pool || e.Order.Zone != cfg.Zone || e.State == rejected {
			continue
		}
		switch {
		case e.Order.Action == sillorder.Start && !x.listed[e.Started]:
			in.Starting++
		case e.Order.Action == sillorder.Stop && x.listed[e.Order.Instance]:
			in.Stopping[e.Order.Instance] = true
		}
	}
	return in
}

// deleteSettled deletes the row of a closed order once the instance list must
// reflect it: the list was made after the order closed, ListLag has passed, and
// a stopped instance is no longer listed.
func (t *Task) deleteSettled(ctx context.Context, guard silllease.Guard, e *entry, x listIndex) error {
	if e.isOpen() {
		return nil
	}
	changed := time.UnixMilli(e.ChangedAt)
	if t.Now().Sub(changed) < t.ListLag || !x.list.AsOf.After(changed) {
		return nil
	}
	isStop := e.State == done && e.Order.Action == sillorder.Stop
	if isStop && x.listed[e.Order.Instance] {
		return nil
	}
	err := e.remove(ctx, t.Store, guard)
	if err == nil {
		// input ignores rejected entries, and so the deleted one.
		e.State = rejected
	}
	return err
}
