//! Periods, timeouts, limits and byte budgets, for the fleet sizes in `docs/design.md`, section 2.

use std::time::Duration;

/// Period at which the runtime is expected to call `View::tick`.
pub const TICK: Duration = Duration::from_millis(100);

/// Unit of a zone's clock and of heartbeat counters; the lag of one pulse, a byte, holds up to 255 units.
pub(crate) const CLOCK_UNIT: Duration = Duration::from_millis(100);

/// Mean period of heartbeats inside the zone.
pub(crate) const BEAT_PERIOD: Duration = Duration::from_millis(700);

/// Mean period of heartbeats to other zones from a VM of a large zone.
pub(crate) const REMOTE_PERIOD: Duration = Duration::from_secs(3);

/// Shortest mean period of heartbeats to other zones.
pub(crate) const REMOTE_PERIOD_MIN: Duration = Duration::from_secs(1);

/// Mean period of heartbeats to other zones, per VM of the own zone.
///
/// With this factor, a small zone sends as many heartbeats in total as a large one.
pub(crate) const REMOTE_PERIOD_PER_NODE: Duration = Duration::from_millis(100);

/// Interval between the rounds in which an urgent change is forwarded.
pub(crate) const URGENT_PERIOD: Duration = Duration::from_millis(200);

/// Rounds in which a node forwards an urgent change.
///
/// Three rounds to three peers miss about one node in 8,000; the periodic heartbeats then reach it.
pub(crate) const URGENT_ROUNDS: u8 = 3;

/// Interval between two scans for silent VMs.
pub(crate) const SCAN_PERIOD: Duration = Duration::from_millis(500);

/// A VM whose counter has not risen for this long is suspected.
///
/// A counter needs about 4.5 s to reach all of 98 VMs at 2.5 heartbeats/s; the remaining time tolerates lost messages.
pub(crate) const SUSPECT_AFTER: Duration = Duration::from_secs(8);

/// A VM whose counter has not risen for this long counts as slow; in a healthy zone of 98 VMs, fewer than 1% do.
pub(crate) const SLOW_AFTER: Duration = Duration::from_secs(5);

/// A suspected VM is declared dead when its counter has not risen for this long.
pub(crate) const DEAD_AFTER: Duration = Duration::from_secs(16);

/// A VM that is known only from the platform's list is not suspected before this time has passed.
pub(crate) const JOIN_GRACE: Duration = Duration::from_secs(30);

/// A zone whose clock has not risen for this long is considered unreachable.
pub(crate) const UNREACHABLE_AFTER: Duration = Duration::from_secs(10);

/// A longer gap between two calls means that the process was paused; shorter than `SUSPECT_AFTER`.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// Outdated entries, such as dead VMs, are kept for this long, so that late messages do not revive them.
///
/// It is twice the lag of the list.
pub(crate) const RETENTION_TIME: Duration = Duration::from_secs(60);

/// A failure report counts for this long.
pub(crate) const REPORT_TTL: Duration = Duration::from_secs(8);

/// A failure report is kept for this long, so that a late copy does not count again.
pub(crate) const REPORT_RETENTION: Duration = Duration::from_secs(60);

/// A node reports a failing upstream at most once in this time.
pub(crate) const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A reply with state "live" ends a drain only after this time, because a reply sent before the drain may arrive late.
pub(crate) const MIN_DRAIN_TIME: Duration = Duration::from_secs(5);

/// Overhead per message and direction: frame and packet headers on a connection that stays open.
///
/// Estimated for HTTP/2 over TCP with indexed headers: about 40 bytes of frames, one data segment and one bare
/// acknowledgement of 52 bytes each.
pub const MESSAGE_OVERHEAD_BYTES: usize = 150;

/// Most message bytes of a heartbeat inside the zone.
pub(crate) const MAX_BEAT_BYTES: usize = 520;

/// Most message bytes of a heartbeat to another zone.
pub(crate) const MAX_REMOTE_BYTES: usize = 400;

/// Most bytes of changes and summaries in a reply, besides the counters.
pub(crate) const MAX_REPLY_BYTES: usize = 300;

/// Most message bytes of an urgent heartbeat.
pub(crate) const MAX_URGENT_BYTES: usize = 1_000;

/// Sustained rate of urgent heartbeats.
///
/// Periodic heartbeats take about 2 KB/s in each direction. The changes of an ordinary day, one in 54 s, add about
/// 100 bytes/s. Under a continuous load of changes, a VM sends just under 4 KB/s, replies included.
pub(crate) const URGENT_BYTES_PER_SECOND: f64 = 700.0;

/// Most bytes of urgent heartbeats in one burst; enough for about four changes in a row.
pub(crate) const URGENT_BURST_BYTES: f64 = 8_192.0;

/// Most heartbeat counters in one heartbeat; the freshest ones are sent.
pub(crate) const MAX_PULSES: usize = 100;

/// Interval between two removals of expired VMs and upstreams.
pub(crate) const REMOVE_PERIOD: Duration = Duration::from_secs(5);

/// Most records that one heartbeat requests, so that the replies stay within the byte budget.
pub(crate) const MAX_WANTED_KEYS: usize = 8;

/// Most draining upstreams in the reply to a VM that is catching up.
pub(crate) const MAX_SYNC_DRAINS: usize = 32;

/// Shortest time for which a node repeats a change; afterwards only the round-robin records carry it.
///
/// It is a time rather than a count, because a node that receives many copies at once would use up a count immediately.
pub(crate) const MIN_REPEAT_TIME: Duration = Duration::from_secs(5);

/// Fewest messages in which a node repeats a change, as long as it is younger than `MAX_REPEAT_TIME`.
pub(crate) const MIN_REPEATS: u32 = 4;

/// Longest time for which a node repeats a change.
///
/// When a whole fleet starts at once, each VM is a change for all others, and repeating all changes would fill the
/// heartbeats for minutes.
pub(crate) const MAX_REPEAT_TIME: Duration = Duration::from_secs(20);
