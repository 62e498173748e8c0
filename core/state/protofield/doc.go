// Package protofield writes and reads numbered fields in the protobuf wire format with a fixed order.
package protofield
