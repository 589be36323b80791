//! An in-memory store with scripted faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use kestrellock_store::store::{
    ConfigStore, KeyValue, Snapshot, StoreError, Transaction, TransactionOutcome, Watch,
};

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is carried out and answered.
    None,
    /// The call is not sent.
    Unreachable,
    /// The call is carried out, but its answer is lost.
    AnswerLost,
    /// The call is lost before the store carries it out. The client cannot distinguish this from a
    /// lost answer.
    RequestLost,
    /// The call is not answered, and is carried out later, after the next call.
    Late,
    /// The call is rejected because of the rate limit.
    RateLimited,
}

#[derive(Default)]
struct State {
    revision: u64,
    entries: BTreeMap<String, KeyValue>,
    script: VecDeque<Fault>,
    late: Vec<Transaction>,
    /// All transactions that were carried out.
    committed: Vec<Transaction>,
}

impl State {
    fn execute(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let mod_revision =
            |key: &str| self.entries.get(key).map_or(0, |entry: &KeyValue| entry.mod_revision);
        if transaction
            .conditions
            .iter()
            .any(|condition| mod_revision(&condition.key) != condition.mod_revision)
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
            self.execute(&transaction);
        }
    }
}

/// Action of a test that runs just before a commit.
type Interruption = Box<dyn FnOnce(&MemoryStore) + Send>;

/// An in-memory store whose calls fail as scripted.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    before_commit: Mutex<Option<Interruption>>,
}

impl MemoryStore {
    /// Sets the outcomes of the next calls; later calls do not fail.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().expect("the lock is not poisoned").script = faults.into_iter().collect();
    }

    /// Runs `action` between the reads and the commit of the next change.
    pub fn before_next_commit(&self, action: impl FnOnce(&MemoryStore) + Send + 'static) {
        *self.before_commit.lock().expect("the lock is not poisoned") = Some(Box::new(action));
    }

    /// Carries out all late transactions.
    pub fn deliver_late(&self) {
        self.state.lock().expect("the lock is not poisoned").deliver_late();
    }

    /// Number of committed transactions that wrote a value containing `text`.
    pub fn commits_of(&self, text: &str) -> usize {
        let contains_text = |value: &[u8]| String::from_utf8_lossy(value).contains(text);
        let state = self.state.lock().expect("the lock is not poisoned");
        let writes = |transaction: &&Transaction| {
            transaction.puts.iter().any(|put| contains_text(&put.value))
        };
        state.committed.iter().filter(writes).count()
    }

    fn call<A>(
        &self,
        answer: impl FnOnce(&mut State) -> A,
        late: Option<&Transaction>,
    ) -> Result<A, StoreError> {
        let mut state = self.state.lock().expect("the lock is not poisoned");
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
        let interruption = self.before_commit.lock().expect("the lock is not poisoned").take();
        if let Some(action) = interruption {
            action(self);
        }
        self.call(|state| state.execute(transaction), Some(transaction))
    }

    fn watch(&self, _prefix: &str, _from: u64) -> Result<Box<dyn Watch>, StoreError> {
        Err(StoreError::Unreachable("this store has no watches".into()))
    }
}
