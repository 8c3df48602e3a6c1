// Package sillprocess tests the programs as separate processes: kills, freezes,
// silent connections and outages of the platform, with the truth taken from the
// records of the stand-ins.
package sillprocess
