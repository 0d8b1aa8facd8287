// Package leasetest holds randomised runs of the cores of entries and agents
// against a model of upstreams, networks and callers, in virtual time.
package leasetest
