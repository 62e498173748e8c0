// Package rulefile turns edits of the operators' rule file into submissions and answers them beside the file.
package rulefile
