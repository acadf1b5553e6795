//! Genetic search with tournament selection, two-point crossover, mutation and elitism.

use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};

/// Number of individuals that pass to the next generation unchanged.
const ELITES: usize = 2;
/// Number of individuals compared in one tournament.
const TOURNAMENT: usize = 3;
/// One gene in this many is mutated.
const MUTATION: u64 = 8;

/// Returns the best vector within `range` (inclusive) and its fitness.
pub fn search(
    range: &[(u32, u32)],
    population_size: u32,
    generations: u32,
    seed: u64,
    fitness: &dyn Fn(&[u32]) -> f64,
) -> (Vec<u32>, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let random_gene =
        |rng: &mut ChaCha8Rng, (low, high): (u32, u32)| low + (rng.next_u64() % u64::from(high - low + 1)) as u32;
    let mut population: Vec<(Vec<u32>, f64)> = Vec::new();
    // the cheapest vector is always evaluated
    let lowest: Vec<u32> = range.iter().map(|(low, _)| *low).collect();
    let value = fitness(&lowest);
    population.push((lowest, value));
    for _ in 1..population_size.max(4) {
        let genes: Vec<u32> = range.iter().map(|gene| random_gene(&mut rng, *gene)).collect();
        let value = fitness(&genes);
        population.push((genes, value));
    }
    // ties in fitness are won by the smaller vector, so that the result doesn't depend on the sort order
    let order = |a: &(Vec<u32>, f64), b: &(Vec<u32>, f64)| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0));
    for _ in 0..generations {
        population.sort_by(order);
        let mut next_generation: Vec<(Vec<u32>, f64)> = population[..ELITES.min(population.len())].to_vec();
        while next_generation.len() < population.len() {
            let mut select = || {
                let index = (0..TOURNAMENT).map(|_| (rng.next_u64() % population.len() as u64) as usize).min();
                population[index.expect("a tournament has entrants")].0.clone()
            };
            let (mut genes, other) = (select(), select());
            // genes between the two crossover points come from the other parent
            let length = genes.len() as u64;
            let (a, b) = ((rng.next_u64() % (length + 1)) as usize, (rng.next_u64() % (length + 1)) as usize);
            let (a, b) = (a.min(b), a.max(b));
            genes[a..b].copy_from_slice(&other[a..b]);
            for (gene, limits) in genes.iter_mut().zip(range) {
                if rng.next_u64().is_multiple_of(MUTATION) {
                    *gene = random_gene(&mut rng, *limits);
                }
            }
            let value = fitness(&genes);
            next_generation.push((genes, value));
        }
        population = next_generation;
    }
    population.sort_by(order);
    population.swap_remove(0)
}

#[cfg(test)]
mod tests;
