// Package refusal defines the reasons for which a node refuses a request and their standard HTTP forms.
package refusal
