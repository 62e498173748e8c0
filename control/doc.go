// Command control holds rules and claims by consensus and the directory of back ends as soft state.
package main
