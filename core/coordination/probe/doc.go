// Package probe schedules health and load probes: it limits the back-end time that they take and probes the most uncertain
// target first.
package probe
