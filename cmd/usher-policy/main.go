// Command usher-policy is not built yet.
package main

func main() {}
