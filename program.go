package pimentospread

// ProgramVersion is the version of the program. The log line at the start of a host has it, and
// those of flows that a host resets by its own decision, so that a report names the code that
// decided.
const ProgramVersion = "0.9.0"
