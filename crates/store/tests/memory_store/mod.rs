//! A store in memory that fails as a script says.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use kestrellock_store::store::{
    ConfigStore, KeyValue, Snapshot, StoreError, Transaction, TransactionOutcome, Watch,
};

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is carried out and answered.
    None,
    /// It is never sent.
    Unreachable,
    /// It is carried out; the answer is lost.
    AnswerLost,
    /// It is lost on the way; nobody can tell.
    RequestLost,
    /// It is carried out after the next call, though nobody waits any more.
    Late,
    /// It is refused for its rate.
    RateLimited,
}

#[derive(Default)]
struct State {
    revision: u64,
    entries: BTreeMap<String, KeyValue>,
    script: VecDeque<Fault>,
    late: Vec<Transaction>,
    /// Every transaction carried out.
    committed: Vec<Transaction>,
}

impl State {
    fn carry_out(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let modified =
            |key: &str| self.entries.get(key).map_or(0, |entry: &KeyValue| entry.mod_revision);
        if transaction
            .conditions
            .iter()
            .any(|condition| modified(&condition.key) != condition.mod_revision)
        {
            return TransactionOutcome::Conflict;
        }
        self.revision += 1;
        for put in &transaction.puts {
            let (key, value) = (put.key.clone(), put.value.clone());
            let entry = KeyValue { key: key.clone(), value, mod_revision: self.revision };
            self.entries.insert(key, entry);
        }
        self.committed.push(transaction.clone());
        TransactionOutcome::Written(self.revision)
    }

    fn deliver_late(&mut self) {
        for transaction in std::mem::take(&mut self.late) {
            self.carry_out(&transaction);
        }
    }
}

/// Something that happens at a moment of the test's choice.
type Interruption = Box<dyn FnOnce(&MemoryStore) + Send>;

/// The store.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    before_commit: Mutex<Option<Interruption>>,
}

impl MemoryStore {
    /// Sets what happens to the calls to come; after them nothing fails.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().expect("the lock").script = faults.into_iter().collect();
    }

    /// Lets something happen between the reads and the commit of the next change.
    pub fn before_next_commit(&self, action: impl FnOnce(&MemoryStore) + Send + 'static) {
        *self.before_commit.lock().expect("the lock") = Some(Box::new(action));
    }

    /// Carries out what is still on its way.
    pub fn deliver_late(&self) {
        self.state.lock().expect("the lock").deliver_late();
    }

    /// How many transactions wrote a value that holds `text`.
    pub fn commits_of(&self, text: &str) -> usize {
        let holds = |value: &[u8]| String::from_utf8_lossy(value).contains(text);
        let state = self.state.lock().expect("the lock");
        let writes =
            |transaction: &&Transaction| transaction.puts.iter().any(|put| holds(&put.value));
        state.committed.iter().filter(writes).count()
    }

    fn call<A>(
        &self,
        answer: impl FnOnce(&mut State) -> A,
        late: Option<&Transaction>,
    ) -> Result<A, StoreError> {
        let mut state = self.state.lock().expect("the lock");
        let lost = || Err(StoreError::Unanswered("lost".into()));
        let fault = state.script.pop_front().unwrap_or(Fault::None);
        let outcome = match fault {
            Fault::None => Ok(answer(&mut state)),
            Fault::Unreachable => Err(StoreError::Unreachable("down".into())),
            Fault::AnswerLost => {
                answer(&mut state);
                lost()
            }
            Fault::RequestLost => lost(),
            Fault::Late => {
                state.deliver_late();
                state.late.extend(late.cloned());
                return lost();
            }
            Fault::RateLimited => {
                Err(StoreError::RateLimited { retry_after: Duration::from_micros(10) })
            }
        };
        state.deliver_late();
        outcome
    }
}

impl ConfigStore for MemoryStore {
    fn range(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let read = |state: &mut State| {
            let found = state.entries.values().filter(|entry| entry.key.starts_with(prefix));
            Snapshot { revision: state.revision, entries: found.cloned().collect() }
        };
        self.call(read, None)
    }

    fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError> {
        let interruption = self.before_commit.lock().expect("the lock").take();
        if let Some(action) = interruption {
            action(self);
        }
        self.call(|state| state.carry_out(transaction), Some(transaction))
    }

    fn watch(&self, _prefix: &str, _from: u64) -> Result<Box<dyn Watch>, StoreError> {
        Err(StoreError::Unreachable("this store has no watches".into()))
    }
}
