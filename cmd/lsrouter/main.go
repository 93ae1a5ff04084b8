// Command lsrouter is the router process of one entry VM.
package main

func main() {}
