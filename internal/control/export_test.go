package control

// ConfigIntervalPerEntry exports configIntervalPerEntry for tests.
const ConfigIntervalPerEntry = configIntervalPerEntry

// Supports exports Server.supports for tests.
var Supports = (*Server).supports
