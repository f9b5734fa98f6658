// Command usherctl is not built yet.
package main

func main() {}
