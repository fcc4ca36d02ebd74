package control

// ConfigIntervalPerEntry exports configIntervalPerEntry for tests.
const ConfigIntervalPerEntry = configIntervalPerEntry
