// Command gypsumcap measures what control costs a node as the fleet grows.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"gypsumstand/internal/capacity"
)

func main() {
	sizes := flag.String("nodes", "10,100,1000", "sizes of the fleet")
	flag.Parse()
	for _, s := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		p, err := capacity.Measure(context.Background(), n, 1)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		out, _ := json.Marshal(p)
		fmt.Println(string(out))
	}
}
