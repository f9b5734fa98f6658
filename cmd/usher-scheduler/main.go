// Command usher-scheduler is not built yet.
package main

func main() {}
