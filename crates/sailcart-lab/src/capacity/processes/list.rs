//! What a list of a size costs one sender: memory, processor, bytes, and the pauses that its clients see.

use std::path::Path;
use std::time::{Duration, Instant};

use super::client::{Pauses, Pinger};
use super::discovery::{Directory, Listed, Places, Reading};
use super::sender_process::SenderProcess;
use crate::capacity::series::{Gathered, Quantity};
use crate::capacity::sizes::Sizes;
use crate::experiment::Fault;

/// How long a list may take to be read or refused.
const READ: Duration = Duration::from_secs(40);
/// Pauses are measured from so long before a whole list is told until so long after it is read.
const AROUND: Duration = Duration::from_millis(250);
/// At the planned size: 440,000 destinations, 1.9% of them down, for ten minutes each.
const CHANGES_PER_SECOND: u32 = 28;
/// So many in a row go down before the first of them comes back.
const DOWN: usize = 14;

/// What depends on the list having been taken.
const OF_A_LIST: [Quantity; 14] = [
    Quantity::ListMemory,
    Quantity::ListPeakMemory,
    Quantity::ListBytes,
    Quantity::ListReadTime,
    Quantity::ListReadProcessor,
    Quantity::ListStartToReady,
    Quantity::ListRest,
    Quantity::ListChangeProcessor,
    Quantity::ListChangeBytes,
    Quantity::ListChangesTogether,
    Quantity::ListReadPauseMost,
    Quantity::ListReadPauseP99,
    Quantity::ListChangePauseMost,
    Quantity::ListChangePauseP99,
];

/// What one measurement is about.
struct Subject<'a> {
    sender: SenderProcess,
    directory: Directory,
    destinations: usize,
    sizes: &'a Sizes,
}

/// Measures one sender with a list of so many destinations.
pub fn measure(
    program: &Path,
    destinations: usize,
    sizes: &Sizes,
    gathered: &mut Gathered,
) -> Result<(), Fault> {
    let directory = Directory::open(destinations, Places::Nowhere);
    let directory = directory.map_err(|error| Fault(format!("discovery: {error}")))?;
    let sender = SenderProcess::start(program, directory.address)?;
    if directory.wait_read(READ) == Reading::Refused {
        refuse(&OF_A_LIST, destinations, gathered);
        return Ok(());
    }
    let subject = Subject { sender, directory, destinations, sizes };
    subject.standing(gathered)?;
    subject.changes(gathered)?;
    subject.pauses_at_changes(gathered)?;
    subject.reading(gathered)?;
    subject.pauses_at_reading(gathered)
}

fn refuse(quantities: &[Quantity], destinations: usize, gathered: &mut Gathered) {
    quantities.iter().for_each(|quantity| gathered.refused(*quantity, destinations));
}

impl Subject<'_> {
    fn standing(&self, gathered: &mut Gathered) -> Result<(), Fault> {
        let mut add = |quantity, value| gathered.add(quantity, self.destinations, value);
        add(Quantity::ListStartToReady, self.sender.ready.as_secs_f64());
        add(Quantity::ListMemory, self.sender.resident()?);
        add(Quantity::ListBytes, self.directory.whole_bytes().unwrap_or(0) as f64);
        add(Quantity::ListRest, at_rest(&self.sender, self.sizes.rest)?);
        Ok(())
    }

    /// What changes cost above the sender's rest.
    fn changes(&self, gathered: &mut Gathered) -> Result<(), Fault> {
        let rest = gathered.last(Quantity::ListRest).unwrap_or_default();
        let (before, version) = (self.sender.processor()?, self.directory.version());
        let began = Instant::now();
        let Some(changes) = self.change_for(self.sizes.changes) else {
            let all =
                [Quantity::ListChangeProcessor, Quantity::ListChangeBytes, Quantity::ListChangesTogether];
            refuse(&all, self.destinations, gathered);
            return Ok(());
        };
        let spent = self.sender.processor()? - before - rest * began.elapsed().as_secs_f64();
        let told = self.directory.told_since(version);
        let mut add = |quantity, value: f64| gathered.add(quantity, self.destinations, value);
        add(Quantity::ListChangeProcessor, spent.max(0.0) / changes as f64);
        add(Quantity::ListChangeBytes, told.bytes as f64 / changes as f64);
        add(Quantity::ListChangesTogether, changes as f64 / told.answers.max(1) as f64);
        Ok(())
    }

    fn pauses_at_changes(&self, gathered: &mut Gathered) -> Result<(), Fault> {
        let pinger = Pinger::start(self.sender.listen);
        let known = self.change_for(self.sizes.pauses).is_some();
        let pauses = pinger.stop()?;
        let both = [Quantity::ListChangePauseMost, Quantity::ListChangePauseP99];
        self.add_pauses(both, known.then_some(pauses), gathered);
        Ok(())
    }

    fn reading(&self, gathered: &mut Gathered) -> Result<(), Fault> {
        let before = self.sender.processor()?;
        let reading = self.read_whole();
        let spent = self.sender.processor()? - before;
        let Reading::Read(took) = reading else {
            let all = [Quantity::ListReadTime, Quantity::ListReadProcessor, Quantity::ListPeakMemory];
            refuse(&all, self.destinations, gathered);
            return Ok(());
        };
        let mut add = |quantity, value| gathered.add(quantity, self.destinations, value);
        add(Quantity::ListReadTime, took.as_secs_f64());
        add(Quantity::ListReadProcessor, spent);
        add(Quantity::ListPeakMemory, self.sender.peak()?);
        Ok(())
    }

    fn pauses_at_reading(&self, gathered: &mut Gathered) -> Result<(), Fault> {
        let pinger = Pinger::start(self.sender.listen);
        std::thread::sleep(AROUND);
        let reading = self.read_whole();
        std::thread::sleep(AROUND);
        let pauses = pinger.stop()?;
        let both = [Quantity::ListReadPauseMost, Quantity::ListReadPauseP99];
        self.add_pauses(both, (reading != Reading::Refused).then_some(pauses), gathered);
        Ok(())
    }

    fn add_pauses(&self, both: [Quantity; 2], pauses: Option<Pauses>, gathered: &mut Gathered) {
        let Some(pauses) = pauses else { return refuse(&both, self.destinations, gathered) };
        let [most, p99] = both;
        gathered.add(most, self.destinations, pauses.most.as_secs_f64());
        gathered.add(p99, self.destinations, pauses.p99.as_secs_f64());
    }

    /// Tells changes at a steady pace and waits until the last is known; how many there were. `None` where it never is.
    fn change_for(&self, span: Duration) -> Option<usize> {
        let (began, pace) = (Instant::now(), Duration::from_secs(1) / CHANGES_PER_SECOND);
        let count = (span.as_secs_f64() / pace.as_secs_f64()) as usize;
        // Spread over the list by a step that meets each destination in turn.
        let step = (self.destinations / DOWN).max(1);
        for nth in 0..count {
            let due = began + pace * nth as u32;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let listed = Listed((nth % DOWN * step + nth / (2 * DOWN)) % self.destinations);
            self.directory.change(listed, nth / DOWN % 2 == 1);
        }
        self.directory.wait_known(READ).then_some(count)
    }

    /// Tells the whole list anew.
    fn read_whole(&self) -> Reading {
        self.directory.whole();
        self.directory.wait_read(READ)
    }
}

/// Share of a core that it uses with nothing to do.
fn at_rest(sender: &SenderProcess, span: Duration) -> Result<f64, Fault> {
    let (before, began) = (sender.processor()?, Instant::now());
    std::thread::sleep(span);
    Ok((sender.processor()? - before) / began.elapsed().as_secs_f64())
}
