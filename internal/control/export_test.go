package control

// NewsPacePerEntry is shown to tests.
const NewsPacePerEntry = newsPacePerEntry
