//! Formats the report as text.

use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result;

use crate::bench::Case;
use crate::bench::Report;

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let mut workload = "";
        for case in &self.cases {
            if case.workload != workload {
                workload = &case.workload;
                write_header(workload, f)?;
            }
            write_case(case, f)?;
        }
        writeln!(
            f,
            "\nCPU of the state machine: fan-out, ns per shard, sub-requests per second on one core"
        )?;
        for cost in &self.costs {
            writeln!(
                f,
                "{:>5} {:>8.0} {:>12.0}",
                cost.fanout, cost.shard_ns, cost.rate
            )?;
        }
        let missed = self.missed().count();
        writeln!(
            f,
            "\ntargets: {} met, {missed} missed",
            self.targets.len() - missed
        )?;
        for target in self.missed() {
            let relation = if target.at_least {
                "at least"
            } else {
                "at most"
            };
            writeln!(
                f,
                "missed: {}: {:.6}, {relation} {:.6}",
                target.name, target.value, target.bound
            )?;
            if !target.note.is_empty() {
                writeln!(f, "        {}", target.note)?;
            }
        }
        Ok(())
    }
}

fn write_header(workload: &str, f: &mut Formatter<'_>) -> Result {
    writeln!(
        f,
        "\n{workload} (latencies in ms; ideal is the p99 of the lower bound)"
    )?;
    writeln!(
        f,
        "{:<17} p {:>7} {:>7} {:>7} {:>7} {:>7} {:>9} {:>7} {:>7} {:>6} {:>6}  codes",
        "condition",
        "queries",
        "p50",
        "p99",
        "p99.9",
        "ideal",
        "coverage",
        "goodput",
        "extra",
        "busy",
        "conn"
    )
}

fn write_case(case: &Case, f: &mut Formatter<'_>) -> Result {
    let latency = &case.latency;
    write!(
        f,
        "{:<17} {} {:>7} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>9.6} {:>7.3} {:>6.2}% {:>6.2} {:>6.2} ",
        case.condition.name(),
        case.policy.name(),
        case.offered,
        latency.p50,
        latency.p99,
        latency.p999,
        case.ideal.p99,
        case.coverage,
        case.goodput,
        case.extra * 100.0,
        case.busy,
        case.connections,
    )?;
    for (code, count) in &case.codes {
        write!(f, " {code}:{count}")?;
    }
    writeln!(f)
}
