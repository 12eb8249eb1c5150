//! Counts events while a run is in progress. Both modes, virtual and sockets, report the same events.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use sailcart::DestinationId;

use crate::plan::{Plan, PlannedPacketId};

/// Maximum number of destinations with a series of their own in the charts; all others share one.
const MAX_PLOTTED_DESTINATIONS: usize = 6;

/// A counter of a run; its value is a figure of the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Packets submitted, resubmissions included.
    Submitted,
    /// Packets completed as dismissed.
    Dismissed,
    /// Packets completed as scrapped.
    Scrapped,
    /// Packets in the calls that reached a receiver.
    Dispatches,
    /// Calls that reached a receiver.
    Calls,
    /// Calls that were rejected.
    Rejected,
    /// Calls answered with an error, or whose connection broke.
    Errors,
    /// Calls abandoned without an answer.
    Unanswered,
    /// Calls for which no connection could be established.
    NotConnected,
    /// Connections that were opened.
    Connections,
    /// Sender processes that exited without being stopped by the lab.
    Crashes,
    /// Calls with a packet that no client submitted.
    UnmatchedCalls,
    /// Clients with a malformed command that got no reply within three seconds.
    UnansweredClients,
    /// Sender processes that were killed or stopped on purpose.
    Kills,
}

impl Counter {
    /// All counters with the names of their figures.
    pub(super) const ALL: [(Counter, &'static str); 14] = [
        (Counter::Submitted, "handed_in"),
        (Counter::Dismissed, "dismissed"),
        (Counter::Scrapped, "scrapped"),
        (Counter::Dispatches, "dispatches"),
        (Counter::Calls, "calls"),
        (Counter::Rejected, "full"),
        (Counter::Errors, "errors"),
        (Counter::Unanswered, "unanswered"),
        (Counter::NotConnected, "not_connected"),
        (Counter::Connections, "connections"),
        (Counter::Crashes, "crashes"),
        (Counter::UnmatchedCalls, "strays"),
        (Counter::UnansweredClients, "ignored"),
        (Counter::Kills, "kills"),
    ];
}

/// The counts of a run in progress; [`Tally::into_outcome`] turns them into its result.
pub struct Tally {
    pub(super) counts: BTreeMap<Counter, u64>,
    /// For each planned packet, the time from its planned time to its delivery.
    pub(super) delivery_delays: Vec<Option<Duration>>,
    /// The times that clients waited for their answers, in microseconds.
    pub(super) answer_delays: Histogram<u64>,
    /// For each destination, the index of its series; the last series is for all others.
    series_of_destination: Vec<usize>,
    /// The names of the series.
    pub(super) series_names: Vec<String>,
    /// Packets that reached a receiver, by series and second. The following three fields have the same form.
    pub(super) dispatches_per_second: Vec<Vec<f64>>,
    pub(super) rejections_per_second: Vec<Vec<f64>>,
    pub(super) packets_held: Vec<Vec<f64>>,
    pub(super) calls_in_flight: Vec<Vec<f64>>,
    held_now: Vec<f64>,
    in_flight_now: Vec<f64>,
    /// The number of values in each series.
    seconds: usize,
}

/// A histogram of times from 1 µs to one hour, in microseconds, with three significant digits. It grows for
/// longer times.
pub(super) fn microsecond_histogram() -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!());
    histogram.auto(true);
    histogram
}

impl Tally {
    /// Creates a tally for a run of the plan, with all counts at zero.
    pub fn new(plan: &Plan) -> Self {
        let mut by_demand: Vec<(usize, usize)> =
            (0..plan.destinations.len()).map(|index| (0, index)).collect();
        for planned in &plan.planned_packets {
            by_demand[planned.destination.0 as usize].0 += 1;
        }
        by_demand.sort_by(|a, b| b.cmp(a));
        let plotted: Vec<usize> =
            by_demand.iter().take(MAX_PLOTTED_DESTINATIONS).map(|(_, index)| *index).collect();
        let series_index = |index| plotted.iter().position(|other| *other == index).unwrap_or(plotted.len());
        let series_of_destination = (0..plan.destinations.len()).map(series_index).collect();
        let mut series_names: Vec<String> =
            plotted.iter().map(|index| plan.destinations[*index].name.clone()).collect();
        series_names.push("all others".to_owned());
        let seconds = plan.end().as_secs() as usize + 2;
        let no_values = vec![vec![0.0; seconds]; series_names.len()];
        Tally {
            counts: BTreeMap::new(),
            delivery_delays: vec![None; plan.planned_packets.len()],
            answer_delays: microsecond_histogram(),
            series_of_destination,
            dispatches_per_second: no_values.clone(),
            rejections_per_second: no_values.clone(),
            packets_held: no_values.clone(),
            calls_in_flight: no_values,
            held_now: vec![0.0; series_names.len()],
            in_flight_now: vec![0.0; series_names.len()],
            series_names,
            seconds,
        }
    }

    /// Increments a counter.
    pub fn increment(&mut self, counter: Counter) {
        *self.counts.entry(counter).or_default() += 1;
    }

    fn second(&self, now: Duration) -> usize {
        (now.as_secs() as usize).min(self.seconds - 1)
    }

    /// A client got the answer to its packet after this time.
    pub fn record_answer(&mut self, delay: Duration) {
        let _ = self.answer_delays.record(delay.as_micros().max(1) as u64);
    }

    /// A planned packet was executed, this long after its planned time. The shortest time is retained.
    pub fn record_delivery(&mut self, planned_packet: PlannedPacketId, delay: Duration) {
        let shortest = &mut self.delivery_delays[planned_packet.0];
        *shortest = Some(shortest.map_or(delay, |previous| previous.min(delay)));
    }

    /// Increments the number of packets held for the destination if `more`, otherwise decrements it.
    pub fn adjust_held(&mut self, destination: DestinationId, more: bool) {
        self.held_now[self.series_of_destination[destination.0 as usize]] += if more { 1.0 } else { -1.0 };
    }

    /// Increments the number of calls in flight to the destination if `more`, otherwise decrements it.
    pub fn adjust_calls_in_flight(&mut self, destination: DestinationId, more: bool) {
        self.in_flight_now[self.series_of_destination[destination.0 as usize]] +=
            if more { 1.0 } else { -1.0 };
    }

    /// A call with this number of packets reached a receiver.
    pub fn record_dispatch(&mut self, now: Duration, destination: DestinationId, packets: usize) {
        *self.counts.entry(Counter::Dispatches).or_default() += packets as u64;
        self.increment(Counter::Calls);
        let second = self.second(now);
        self.dispatches_per_second[self.series_of_destination[destination.0 as usize]][second] +=
            packets as f64;
    }

    /// A call was rejected.
    pub fn record_rejection(&mut self, now: Duration, destination: DestinationId) {
        self.increment(Counter::Rejected);
        let second = self.second(now);
        self.rejections_per_second[self.series_of_destination[destination.0 as usize]][second] += 1.0;
    }

    /// The main counts so far, in one line for a terminal.
    pub fn progress_line(&self) -> String {
        let value = |counter| self.counts.get(&counter).copied().unwrap_or(0);
        format!(
            "{} calls with {} packets, {} calls rejected, {} errors; notices: {} dismissed, {} scrapped",
            value(Counter::Calls),
            value(Counter::Dispatches),
            value(Counter::Rejected),
            value(Counter::Errors),
            value(Counter::Dismissed),
            value(Counter::Scrapped)
        )
    }

    /// Records the packets held and the calls in flight; called once a second.
    pub fn sample(&mut self, now: Duration) {
        let second = self.second(now);
        for series in 0..self.series_names.len() {
            self.packets_held[series][second] = self.held_now[series].max(0.0);
            self.calls_in_flight[series][second] = self.in_flight_now[series].max(0.0);
        }
    }
}
