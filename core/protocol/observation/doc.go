// Package observation defines the counts that nodes keep of the back ends of a service during its rollout.
package observation
