// Package sillservebench compares the choice of targets and the fair queue with
// simpler policies. It holds tests only.
package sillservebench
