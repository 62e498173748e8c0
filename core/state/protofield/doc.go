// Package protofield encodes and decodes numbered fields in the protobuf wire format. Fields are written in the order of
// the calls, so that equal values have equal encodings.
package protofield
