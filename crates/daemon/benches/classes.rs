//! Cost of looking up the class of a statement whose text is in the cache.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use kestrellock_protocol::facts_cache::FactsCache;

const TEXTS: usize = 1_000;

fn cached_class(criterion: &mut Criterion) {
    let texts: Vec<Vec<u8>> = (0..TEXTS)
        .map(|id| format!("SELECT caption, page FROM portraits WHERE id = {id}").into_bytes())
        .collect();
    let mut classes = FactsCache::default();
    for text in &texts {
        classes.facts_of(text);
    }
    let mut next = texts.iter().cycle();
    criterion.bench_function("class of a text seen before", |bencher| {
        bencher.iter(|| {
            let text = next.next().expect("a cycle is infinite");
            classes.facts_of(black_box(text))
        });
    });
}

criterion_group!(benches, cached_class);
criterion_main!(benches);
