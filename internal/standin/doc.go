// Package standin implements small test doubles for everything that surrounds
// the system: the platform with its weight store, model engines and plain
// services. Tests run them in-process; the program standin runs each as a
// process. They count the requests they serve, so that a test can check the
// system's behaviour from the outside.
package standin
