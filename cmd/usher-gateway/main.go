// Command usher-gateway is not built yet.
package main

func main() {}
