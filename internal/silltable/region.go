package silltable

import "context"

type regionKey struct{}

// KeepInRegion returns a context for calls that only gateways of the region of this process
// may pass on.
func KeepInRegion(ctx context.Context) context.Context {
	return context.WithValue(ctx, regionKey{}, true)
}

// IsKeptInRegion returns whether only gateways of the region of this process may pass on a
// call.
func IsKeptInRegion(ctx context.Context) bool {
	kept, _ := ctx.Value(regionKey{}).(bool)
	return kept
}
