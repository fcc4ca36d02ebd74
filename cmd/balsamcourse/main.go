// Command balsamcourse is a load balancer for servers whose load shifts in
// milliseconds.
package main

import "fmt"

func main() {
	fmt.Println("balsamcourse")
}
