//! Periods, bounds and byte budgets, chosen for the sizes in `docs/design.md`, section 2.

use std::time::Duration;

/// Period at which the runtime is expected to call `View::tick`.
pub const TICK: Duration = Duration::from_millis(100);

/// Unit of a zone's clock, and so of heartbeat counters; 255 units fit the lag of one pulse.
pub(crate) const CLOCK_UNIT: Duration = Duration::from_millis(100);

/// Mean period of heartbeats inside the zone.
pub(crate) const BEAT_PERIOD: Duration = Duration::from_millis(700);

/// Mean period of heartbeats to other zones from a VM of a large zone.
pub(crate) const REMOTE_PERIOD: Duration = Duration::from_secs(3);

/// Shortest mean period of heartbeats to other zones.
pub(crate) const REMOTE_PERIOD_MIN: Duration = Duration::from_secs(1);

/// Period of heartbeats to other zones per VM of the own zone, so that a small zone is heard as often as a large one.
pub(crate) const REMOTE_PERIOD_PER_NODE: Duration = Duration::from_millis(100);

/// Distance between the rounds in which an urgent change is sent on.
pub(crate) const URGENT_PERIOD: Duration = Duration::from_millis(200);

/// Rounds in which a node sends an urgent change on.
///
/// Three rounds to three peers miss about one node in 8,000, which the periodic heartbeats then inform.
pub(crate) const URGENT_ROUNDS: u8 = 3;

/// Distance between two scans for silent VMs.
pub(crate) const SCAN_PERIOD: Duration = Duration::from_millis(500);

/// A VM whose counter has not risen for this long is suspected.
///
/// A counter needs about 4.5 s to reach all of 98 VMs at 2.5 heartbeats/s; the rest tolerates lost messages.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_secs(8);

/// A VM whose counter has not risen for this long is slow; in an undisturbed zone of 98 VMs, fewer than 1% are.
pub(crate) const SLOW_AFTER: Duration = Duration::from_secs(5);

/// A suspected VM is declared dead when its counter has not risen for this long.
pub(crate) const DEAD_AFTER: Duration = Duration::from_secs(16);

/// A VM that is known only from the platform's list is not suspected before this time has passed.
pub(crate) const JOIN_GRACE: Duration = Duration::from_secs(30);

/// A zone whose clock has not risen for this long is held to be unreachable.
pub(crate) const ZONE_SILENT: Duration = Duration::from_secs(10);

/// A gap between two calls that shows that the process was paused; shorter than `SUSPECT_AFTER`.
pub(crate) const PAUSE_LIMIT: Duration = Duration::from_secs(3);

/// A dead VM is remembered for this long, so that late messages do not revive it; twice the lag of the list.
pub(crate) const KEEP_DEAD: Duration = Duration::from_secs(60);

/// A failure report counts for this long.
pub(crate) const REPORT_LIFE: Duration = Duration::from_secs(8);

/// A failure report is remembered for this long, so that a late copy does not count again.
pub(crate) const REPORT_KEEP: Duration = Duration::from_secs(60);

/// A node reports a failing upstream at most once in this time.
pub(crate) const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// A reply that says "live" ends a drain only after this time, because a reply sent before the drain may arrive late.
pub(crate) const DRAIN_HOLD: Duration = Duration::from_secs(5);

/// Bytes that one side of a heartbeat adds to its message: frame and packet headers on a connection that stays open.
///
/// Estimated for HTTP/2 over TCP with indexed headers: about 40 bytes of frames, one data segment and one bare
/// acknowledgement of 52 bytes each.
pub const MESSAGE_OVERHEAD_BYTES: usize = 150;

/// Most message bytes of a heartbeat inside the zone.
pub(crate) const BEAT_BYTES: usize = 520;

/// Most message bytes of a heartbeat to another zone.
pub(crate) const REMOTE_BYTES: usize = 400;

/// Most bytes of changes and summaries in a reply, besides the counters.
pub(crate) const REPLY_BYTES: usize = 300;

/// Most message bytes of an urgent heartbeat.
pub(crate) const URGENT_BYTES: usize = 1_000;

/// Sustained bytes per second of urgent heartbeats.
///
/// The periodic ones take about 2 KB/s to send and as much to receive; the changes of an ordinary day, one in 54 s, add about 100
/// bytes/s. In a lasting storm of changes a VM sends just under 4 KB/s, replies included.
pub(crate) const URGENT_RATE: f64 = 700.0;

/// Bytes of urgent heartbeats that may be sent in one burst; enough for about four changes in a row.
pub(crate) const URGENT_BURST: f64 = 8_192.0;

/// Most heartbeat counters in one heartbeat; the freshest ones are sent.
pub(crate) const PULSES: usize = 100;

/// Distance between two removals of VMs and upstreams that are long gone.
pub(crate) const REMOVE_PERIOD: Duration = Duration::from_secs(5);

/// Most records that one heartbeat asks for, so that the replies stay within the byte budget.
pub(crate) const WANTED: usize = 8;

/// Most draining upstreams that a reply tells a VM that has just started.
pub(crate) const DRAINS_AT_START: usize = 32;

/// Time for which a node repeats a change before it is left to rotation.
///
/// It is a time rather than a count, because a node that receives many copies at once would use up a count at once.
pub(crate) const REPEAT_TIME: Duration = Duration::from_secs(5);

/// Fewest messages in which a node repeats a change, as long as it is younger than `REPEAT_LIMIT`.
pub(crate) const REPEATS: u32 = 4;

/// Time after which a change is left to rotation in any case.
///
/// When a whole fleet starts at once, every VM is a change to every other, and repeating them all would fill the
/// heartbeats for minutes.
pub(crate) const REPEAT_LIMIT: Duration = Duration::from_secs(20);
