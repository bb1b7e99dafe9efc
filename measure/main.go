// Command measure runs the demo, the load and the measurements.
package main

func main() {}
