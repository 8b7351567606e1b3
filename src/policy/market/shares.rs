//! Shares: for each class, the maximum of concave utility less price over the servers within its placement.

use crate::interface::Time;
use crate::policy::aperture;
use crate::state::{Balancer, ShareInput};

/// Solves the shares of each class over its servers. Bounds apply to a server's total flow: each class gets
/// the part of a bound that it would have of the flow under equal shares.
///
/// `inputs` are in the order of the ready servers, `flows` are the classes' arrivals per second, `floor` is
/// that of [`solve_shares`], and `dt` the seconds since the previous solution. Returns, at the index of the
/// first class with each placement, the fraction of the arrivals of all classes with it for which no server
/// has capacity; 0 at the other indices.
pub(crate) fn solve_classes(
    b: &mut Balancer,
    inputs: &[ShareInput],
    flows: &[f64],
    floor: f64,
    (now, dt): (Time, f64),
) -> Vec<f64> {
    let (n, total_flow) = (inputs.len() as f64, flows.iter().sum::<f64>().max(1e-9));
    let mut open = b.open_by_class();
    let (mut density, mut restricted_load) =
        (vec![0.0; inputs.len()], vec![vec![0.0; inputs.len()]; flows.len()]);
    let works: Vec<f64> = b.markets.iter().zip(flows).map(|(m, flow)| m.work * flow).collect();
    for (c, open_servers) in open.iter().enumerate() {
        let count = open_servers.len() as f64;
        open_servers.iter().for_each(|&k| density[k] += flows[c] / total_flow * n / count);
        // Capacity used by classes with fewer servers is not available to the others.
        for (g, restricted) in
            open.iter().enumerate().filter(|g| g.1.len() < open_servers.len() && works[c] > 0.0)
        {
            let speeds: f64 = restricted.iter().map(|&k| inputs[k].speed).sum();
            let brought = works[g] / works[c] * count / speeds;
            restricted.iter().for_each(|&k| restricted_load[c][k] += brought * inputs[k].speed);
        }
    }
    for (c, open) in open.iter_mut().enumerate() {
        let flow = b.markets[c].slow_arrivals.corrected(now);
        aperture::limit(b, c, open, inputs, flow, dt);
    }
    b.ready.iter().for_each(|&i| b.servers[i].recent_share *= 0.95);
    let (mut market_price, mut sums) = (0.0, vec![(0.0, 0.0); flows.len()]);
    for (c, open) in open.iter().enumerate() {
        let m = &mut b.markets[c];
        m.open_count = open.len() as f64;
        m.shares.clear();
        m.shares.resize(inputs.len(), 0.0);
        let left = |k: usize| inputs[k].speed / (1.0 + restricted_load[c][k]);
        let mean = open.iter().map(|&k| left(k)).sum::<f64>() / m.open_count;
        let most = |k: usize| inputs[k].max_share / density[k].max(1e-9);
        let own =
            |&k: &usize| ShareInput { price: inputs[k].price, speed: left(k) / mean, max_share: most(k) };
        let own: Vec<ShareInput> = open.iter().map(own).collect();
        let mut shares = Vec::new();
        m.lambda = solve_shares(&own, floor, m.lambda, &mut shares);
        let part = flows[c] / total_flow;
        for (k, share) in open.iter().zip(&shares) {
            m.shares[*k] = *share;
            b.servers[b.ready[*k]].recent_share += part * share / m.open_count;
            market_price += part * b.servers[b.ready[*k]].price * share / m.open_count;
        }
        let representative = &mut sums[m.representative];
        representative.0 += part * (1.0 - shares.iter().sum::<f64>() / m.open_count.max(1.0));
        representative.1 += part;
    }
    b.market_price = market_price;
    sums.into_iter().map(|(unplaced, part)| unplaced / part.max(1e-9)).collect()
}

/// share = [1/(price + lambda) − 1/speed]₊, bounded by `max_share`, with sum n: the maximum of Σ ln(1 +
/// share·speed) − price·share. Finds lambda by Newton steps safeguarded by bisection, and returns it. `start`
/// is where the search starts, and `floor` the minimum of price + lambda at the cheapest server without a
/// bound, or at the cheapest of all if every server has one.
pub(super) fn solve_shares(inputs: &[ShareInput], floor: f64, start: f64, shares: &mut Vec<f64>) -> f64 {
    let n = inputs.len() as f64;
    let share = |l: &ShareInput, lambda: f64| match l.price + lambda {
        cost if cost > 0.0 => (1.0 / cost - 1.0 / l.speed).clamp(0.0, l.max_share),
        // The marginal utility exceeds the cost for any share: only the bound applies.
        _ => l.max_share,
    };
    // If the bounds do not allow the sum n, the rest is rejected: a lambda below `floor` less the lowest
    // price would fill up even expensive servers. Bounded servers that stay cheap, such as an idle cold
    // one, are ignored, since they would close the others.
    let least =
        |bounded: bool| inputs.iter().filter(move |l| l.max_share.is_finite() == bounded).map(|l| l.price);
    let least = |bounded| least(bounded).fold(f64::INFINITY, f64::min);
    let lowest_price = if least(false).is_finite() { least(false) } else { least(true) };
    let mut low = floor - lowest_price;
    let mut high = inputs.iter().map(|l| l.speed - l.price).fold(low, f64::max);
    let mut lambda = if start > low && start < high { start } else { (low + high) / 2.0 };
    for _ in 0..60 {
        let (mut sum, mut slope) = (0.0, 0.0);
        for l in inputs {
            let s = share(l, lambda);
            sum += s;
            if s > 0.0 && s < l.max_share {
                slope -= 1.0 / (l.price + lambda).powi(2);
            }
        }
        if (sum - n).abs() < 1e-6 * n || high - low < 1e-9 {
            break;
        }
        *(if sum > n { &mut low } else { &mut high }) = lambda;
        let newton = lambda - (sum - n) / slope;
        lambda = if newton > low && newton < high { newton } else { (low + high) / 2.0 };
    }
    shares.clear();
    shares.extend(inputs.iter().map(|l| share(l, lambda)));
    lambda
}
