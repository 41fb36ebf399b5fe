package standin

import "testing"

func TestCommands(t *testing.T) {
	cases := map[string]struct {
		command, input, output string
		fails                  bool
	}{
		"echo":  {command: "echo", input: "abc", output: "abc"},
		"sum":   {command: "sum", input: "", output: "ef46db3751d8e999"},
		"sleep": {command: "sleep", input: "1s\n", output: "slept 1s"},
		"cost": {
			command: "cost",
			input:   "pigment,grams,price_per_kg\nblue 15:3,1250,18.40\nwarm red,333,9.99\nwhite,0.5,0\n",
			output:  "blue 15:3,1250,23.00\nwarm red,333,3.33\nwhite,0.5,0.00\ntotal,1583.5,26.33\n",
		},
		"cost of a negative weight": {command: "cost", input: "blue,-1,2\n", fails: true},
		"cost of a huge exponent":   {command: "cost", input: "blue,1e999999999,2\n", fails: true},
		"cost without a price":      {command: "cost", input: "blue,1\n", fails: true},
		"cost of nothing":           {command: "cost", input: "", fails: true},
		"sort": {
			command: "sort",
			input:   "client,kind,count\nRose Hall,apron,3\nHalf Moon,towel,20\nRose Hall,apron,4\nHalf Moon,apron,1\n",
			output:  "Half Moon,apron,1\nHalf Moon,towel,20\nRose Hall,apron,7\n",
		},
		"sort of a fraction": {command: "sort", input: "Rose Hall,apron,1.5\n", fails: true},
		"fail":               {command: "fail", fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			output, err := commands[c.command].run([]byte(c.input))
			if (err != nil) != c.fails || string(output) != c.output {
				t.Fatalf("output %q, %v", output, err)
			}
		})
	}
}
