// Package refusalhelp explains to operators the reasons for which nodes refuse requests.
package refusalhelp
