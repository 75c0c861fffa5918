// Package faultmatrix tests the fleet against faults: for every combination of a fault and a
// step of an operation (a cell of the matrix) it runs a simulated session under load, injects
// the fault at that step, and checks the invariants of docs/design.md. All code is in the tests.
package faultmatrix
