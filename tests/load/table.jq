# Prints the reports of several runs as a Markdown table:
# jq -rs -f table.jq FILE...
# There is a row for each deployment, scenario and variant, in the order of the
# files.  A cell has the median over the seeds and, in brackets, the lowest and
# the highest value.

def share($part; $whole): if $whole > 0 then $part / $whole else 0 end;
def total(f): [.services[]? | f // 0] | add // 0;

# The attainment of the worst-served workspace.
def worst: [1, (.workspaces[]? | .attainment)] | min;

# The number of wrong or missing answers, and of outcomes that contradict the
# counts of the stand-in.
def wrong: .mixed_up + .short + .silence + .effects.lost + .effects.doubled
    + .effects.not_run_but_ran;

def columns: [
	{ title: "attained %", digits: 2, value: (.attainment * 100) },
	{ title: "worst workspace %", digits: 2, value: (worst * 100) },
	{ title: "p50 ms", digits: 0, value: .latency_ms.p50 },
	{ title: "p99 ms", digits: 0, value: .latency_ms.p99 },
	{ title: "first token p95 ms", digits: 0, value: .first_token_ms.p95 },
	{ title: "between tokens p95 ms", digits: 1, value: .gap_ms.p95 },
	{ title: "busy ms/good", digits: 0, value: total(.busy_ms_per_good) },
	{ title: "wasted calls %", digits: 1,
	    value: (100 * share(total(.wasted * .calls); total(.calls))) },
	{ title: "extra calls %", digits: 1,
	    value: (100 * share(.sequoiads | .retries + .hedges + .resumes;
	        .sequoiads.calls)) },
	{ title: "cache hits %", digits: 0,
	    value: (100 * share(total(.cached_prompts);
	        total(if .tokens > 0 then .calls else 0 end))) },
	{ title: "wrong", digits: 0, value: wrong },
	{ title: "own lag p99 ms", digits: 1, value: .lag_ms.p99 }
];

# Formats a number with $digits digits after the decimal point.
def fixed($digits): ((. // 0) * pow(10; $digits) | round | tostring)
    | if $digits == 0 then .
      else ("0" * ([0, $digits + 1 - length] | max) // "") + .
          | .[:-$digits] + "." + .[-$digits:]
      end;

# Formats a cell from the values of its column for all seeds.
def cell: .[0].digits as $d | map(.value) | sort
    | (.[length / 2 | floor] | fixed($d)) +
      if length > 1 then " (\(.[0] | fixed($d))-\(.[-1] | fixed($d)))"
      else "" end;

def row: "| \(.[0].deployment // "") \(.[0].scenario // "") "
    + "| \(.[0].variant // "") | "
    + (map(columns) | transpose | map(cell) | join(" | ")) + " |";

def name: [.deployment, .scenario, .variant];

(.[0] // {} | columns | map(.title)) as $titles
| "| scenario | variant | \($titles | join(" | ")) |",
  "|---|---|\($titles | map("---:|") | add)",
  (reduce .[] as $r ([];
      if any(.[]; .[0] | name == ($r | name))
      then map(if .[0] | name == ($r | name) then . + [$r] else . end)
      else . + [[$r]] end)
  | .[] | row)
