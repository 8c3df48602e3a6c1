// Package sillgroup starts the goroutines of a process and waits for them.
package sillgroup

import (
	"context"
	"sync"
)

// Group runs goroutines that must return when the group's context ends.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a group whose goroutines get a context derived from ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context of the group's goroutines.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go starts f in a goroutine of the group.
func (g *Group) Go(f func(ctx context.Context)) {
	g.wg.Go(func() { f(g.ctx) })
}

// Cancel cancels the context of the goroutines without waiting for them.
func (g *Group) Cancel() {
	g.cancel()
}

// Wait waits until every goroutine has returned.
func (g *Group) Wait() {
	g.wg.Wait()
}

// Stop cancels the context of the goroutines and waits for them.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}
