// Package rulefile watches the operators' rule file, submits its edits to the control group, writes the verdicts into an
// answer file beside it, and updates the file when other rules come into force.
package rulefile
