// Package standin holds small stand-ins for what surrounds the system: the
// platform with its weight store, model engines and plain services. Tests use
// them in-process, and the program standin runs each as a process. They count
// what they see, so that a test can judge the system from the outside.
package standin
