// Package refusalhelp holds an explanation for operators of every reason for which nodes refuse requests.
package refusalhelp
