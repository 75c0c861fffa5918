// Package faultmatrix brings about every fault at every step of an operation and checks
// the invariants of docs/design.md in each cell. The matrix itself is in its tests.
package faultmatrix
