// Package rule parses, checks and compares the operators' rule file.
package rule
