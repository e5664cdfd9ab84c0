// Package chunk splits documents into chunks that are identified by their content. Two versions of a document share all chunks
// but those around a change, so that a node that has one version needs only a few chunks to build the other.
package chunk
