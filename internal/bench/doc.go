// Package bench runs benchmark scenarios. Each scenario but scale starts a deployment on
// loopback, sends open-loop load, injects faults or changes, and checks the answers
// that the clients received against the contents of the databases. Scenario scale
// measures how the costs grow with the size of the fleet.
//
// Run returns a Report with the measured figures and the targets of the design. A
// missed target is marked in the report; an error means that the scenario could not
// be completed.
package bench
