// Package sillsoak soaks programs that serve callers: processes stop, start again and
// pause in series that overlap, in an order that follows from a seed, while callers use
// their open connections until the gateway closes them. The audit compares what callers
// got with what targets ran.
package sillsoak
