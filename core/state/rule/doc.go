// Package rule parses and checks the operators' rule file, compiles it into a Set, and compares and rewrites its text.
package rule
