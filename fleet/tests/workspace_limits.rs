//! Limits of workspaces as sums over all entry VMs, with 20 workspaces of very different sizes.

mod node;
mod world;

use std::sync::Arc;
use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::{Access, Config, Key, Limit, Unit, Workspace};
use boragecove_fleet::engine::{Entry, Row};
use boragecove_fleet::key::Digest;
use boragecove_fleet::quota::{Credit, Draw};
use boragecove_fleet::request::Arrival;
use boragecove_fleet::settings::Settings;
use node::{GATEWAY, entry, plain, row};
use world::{Completion, World, ZONES};

/// The platform's bound: window over which usage is counted.
const WINDOW: Duration = Duration::from_secs(8);
/// The platform's bound: part of the limit that may be used beyond it in a window.
const OVERAGE: f64 = 0.1;
/// The platform's bound: tokens that may be used beyond the limit and the overage in a window.
const SLACK: f64 = 7_400.0;
const WORKSPACES: usize = 20;
/// Tokens that a request costs.
const COSTS: std::ops::Range<f64> = 100.0..1_500.0;
const COST_MEAN: f64 = 800.0;
/// Cost of a large request as a multiple of the usual cost: for the smallest workspace it exceeds what a
/// window may hold.
const LARGE: f64 = 40.0;
/// Usual demand of a workspace, as a part of its limit.
const USUAL: f64 = 0.55;

fn digest(at: usize) -> Digest {
    Digest::from_hash([at as u8; 32])
}

fn name(at: usize) -> Name {
    format!("w{at}").into()
}

/// Limits from 1,900 tokens per second to 200 times that.
fn per_s(at: usize) -> f64 {
    1_900.0 * 200_f64.powf(at as f64 / (WORKSPACES - 1) as f64)
}

fn config(version: u64, factor: impl Fn(usize) -> f64) -> Config {
    let workspace = |at: usize| {
        let per_s = per_s(at) * factor(at);
        let limit = Limit { per_s, burst: per_s, unit: Unit::Tokens { default_tokens: 200.0 } };
        Arc::new(Workspace { name: name(at), priority: None, limit: Some(limit), ..Workspace::default() })
    };
    let key = |at: usize| Arc::new(Key { digest: digest(at), workspace: name(at) });
    let access = Access {
        workspaces: (0..WORKSPACES).map(workspace).collect(),
        keys: (0..WORKSPACES).map(key).collect(),
    };
    Config { access: Some(access), ..node::config(version) }
}

/// Plain engines that are never the bottleneck.
fn engines() -> Vec<Row> {
    let wide = |id: &str, zone: &str| Entry { slots: 100_000, ..entry(id, GATEWAY, zone, &[]) };
    vec![row(3, wide("g1", ZONES[0])), row(4, wide("g2", ZONES[1])), row(5, wide("g3", ZONES[2]))]
}

fn world(vms: usize, seed: u64) -> World {
    let settings =
        Settings { quota_window: WINDOW, quota_overage: OVERAGE, quota_slack: SLACK, ..Settings::default() };
    World::new(vms, config(1, |_| 1.0), &engines(), settings, seed)
}

/// Lets time pass while each workspace sends the part `demand` of its limit to random entry VMs.
fn run(world: &mut World, time: Duration, demand: impl Fn(usize) -> f64) {
    run_sized(world, time, demand, 0.0);
}

/// Like `run`, with the part `large` of the requests being large.
fn run_sized(world: &mut World, time: Duration, demand: impl Fn(usize) -> f64, large: f64) {
    let end = world.now + time;
    let mut due: Vec<f64> = vec![0.0; WORKSPACES];
    while world.now < end {
        let before = world.now;
        world.tick();
        for (at, due) in due.iter_mut().enumerate() {
            *due += per_s(at) * demand(at) * world.now.since(before).as_secs_f64();
            while *due > 0.0 {
                let cost = COSTS.start + world.rng.f64() * (COSTS.end - COSTS.start);
                let cost = if world.rng.f64() < large { cost * LARGE } else { cost };
                // Requests arrive at random intervals.
                *due -= -COST_MEAN * world.rng.f64().max(1e-9).ln() * cost / COST_MEAN;
                let vm = world.rng.usize(..world.len());
                let arrival = Arrival { key: Some(digest(at)), tokens: Some(cost as u64), ..plain("/ack/1") };
                world.arrive(vm, &name(at), cost.floor(), arrival);
            }
        }
    }
}

/// The most that any workspace used in any window beyond the platform's bound; negative if none exceeded
/// it.
fn worst_excess(outcomes: &[Completion], limits: &[(Time, Config)]) -> (f64, Name) {
    let mut worst = (f64::MIN, Name::default());
    for at in 0..WORKSPACES {
        let workspace = name(at);
        let sent: Vec<&Completion> =
            outcomes.iter().filter(|done| done.refused.is_none() && done.workspace == workspace).collect();
        let mut first = 0;
        let mut sum = 0.0;
        for done in &sent {
            sum += done.cost;
            while done.at.since(sent[first].at) > WINDOW {
                sum -= sent[first].cost;
                first += 1;
            }
            // The largest limit of the window, and of the window before a lowered limit takes effect.
            let begin = sent[first].at - WINDOW - Duration::from_secs(3);
            let most = limits
                .iter()
                .enumerate()
                .filter(|(next, (from, _))| {
                    let until = limits.get(next + 1).map_or(Time(u64::MAX), |(until, _)| *until);
                    *from <= done.at && until >= begin
                })
                .filter_map(|(_, (_, config))| config.access.as_ref()?.workspaces[at].limit)
                .map(|limit| limit.per_s * WINDOW.as_secs_f64() + limit.burst)
                .fold(0.0, f64::max);
            let excess = sum - (most * (1.0 + OVERAGE) + SLACK);
            if excess > worst.0 {
                worst = (excess, workspace.clone());
            }
        }
    }
    worst
}

/// Units admitted, as a part of what a single bucket for all entry VMs would have admitted, in total and by
/// workspace. Requests are not compared one by one: one that is admitted on credit takes the place of
/// another.
fn below_limit(outcomes: &[Completion]) -> (f64, Vec<f64>) {
    let mut expected = [0.0; WORKSPACES];
    let mut sent = [0.0; WORKSPACES];
    for at in 0..WORKSPACES {
        let (mut level, mut last) = (per_s(at), None);
        for done in outcomes.iter().filter(|done| done.workspace == name(at)) {
            let elapsed = last.replace(done.at).map_or(Duration::ZERO, |last| done.at.since(last));
            level = (level + per_s(at) * elapsed.as_secs_f64()).min(per_s(at));
            if done.cost <= level {
                level -= done.cost;
                expected[at] += done.cost;
            }
            if done.refused.is_none() {
                sent[at] += done.cost;
            }
        }
    }
    let shares: Vec<f64> =
        sent.iter().zip(&expected).map(|(sent, expected)| (sent / expected).min(1.0)).collect();
    let met: f64 = shares.iter().zip(&expected).map(|(share, expected)| share * expected).sum();
    (met / expected.iter().sum::<f64>(), shares)
}

/// Part of the requests that were admitted.
fn admitted_part<'a>(outcomes: impl Iterator<Item = &'a Completion>) -> f64 {
    let (mut all, mut sent) = (0_u32, 0_u32);
    for done in outcomes {
        all += 1;
        sent += u32::from(done.refused.is_none());
    }
    f64::from(sent) / f64::from(all.max(1))
}

fn warmed_up(vms: usize, seed: u64) -> World {
    let mut world = world(vms, seed);
    world.advance(Duration::from_secs(6));
    world
}

/// The usual load: each workspace well below its limit, the smallest with two requests per second over 62
/// entry VMs.
#[test]
fn below_the_limit() {
    let mut world = warmed_up(62, 1);
    run(&mut world, Duration::from_secs(12), |_| USUAL);
    let (share, by_workspace) = below_limit(&world.outcomes);
    assert!(share >= 0.99, "{share}");
    for (at, share) in by_workspace.into_iter().enumerate() {
        assert!(share >= 0.95, "workspace {at}: {share}");
    }
}

/// A request that costs more than any holder ever has draws from several. One that costs more than can ever
/// be admitted at once is refused at once, without a retry-after.
#[test]
fn large_requests() {
    let mut world = warmed_up(62, 10);
    for (cost, refused) in [(4_000, None), (4_500, Some(Code::OverQuota))] {
        world.advance(Duration::from_secs(6));
        let arrival = Arrival { key: Some(digest(0)), tokens: Some(cost), ..plain("/ack/1") };
        let begin = world.now;
        world.arrive(7, &name(0), cost as f64, arrival);
        world.advance(Duration::from_millis(400));
        let done = world.outcomes.last().expect("an outcome");
        assert_eq!(done.refused, refused, "{cost}");
        assert!(refused.is_none() || done.at.since(begin) < Duration::from_millis(20));
    }
}

/// A draw with invalid amounts yields no credit beyond what the bucket holds.
#[test]
fn invalid_draws() {
    let mut world = warmed_up(3, 11);
    world.advance(Duration::from_secs(6));
    let mut given = 0.0;
    for at in 0..world.len() {
        for cost in [f64::NAN, -1e9, 0.0, f64::INFINITY, 1e12, 1e12] {
            let draw = Draw { workspace: name(0), cost, prefetch: f64::INFINITY, demand: f64::NAN };
            if let Credit::Granted(units) = world.draw(at, &draw) {
                assert!(units >= 0.0, "{units}");
                given += units;
            }
        }
    }
    let limit = per_s(0) * (WINDOW.as_secs_f64() + 1.0);
    assert!(given <= limit * OVERAGE + SLACK, "{given}");
}

/// One workspace sends eight times its usual demand: it gets its limit, and the others lose nothing.
#[test]
fn overloaded_workspace() {
    let mut world = warmed_up(62, 2);
    run(&mut world, Duration::from_secs(3), |_| USUAL);
    let (begin, from) = (world.outcomes.len(), world.now);
    let overloaded = WORKSPACES - 2;
    run(&mut world, Duration::from_secs(10), |at| if at == overloaded { 8.0 * USUAL } else { USUAL });
    let during = &world.outcomes[begin..];
    let others = admitted_part(during.iter().filter(|done| done.workspace != name(overloaded)));
    assert!(others >= 0.99, "{others}");
    let sent = during.iter().filter(|done| done.workspace == name(overloaded) && done.refused.is_none());
    let per_second = sent.map(|done| done.cost).sum::<f64>() / world.now.since(from).as_secs_f64();
    // Each window holds the burst once more.
    let allowed = per_s(overloaded) * (1.0 + 1.0 / WINDOW.as_secs_f64());
    assert!(per_second >= 0.95 * allowed, "{per_second} of {allowed}");
    let (excess, workspace) = worst_excess(&world.outcomes, &[(Time(0), config(1, |_| 1.0))]);
    assert!(excess <= 0.0, "{workspace}: {excess}");
    let unlimited: Vec<Completion> =
        world.outcomes.iter().map(|done| Completion { refused: None, ..done.clone() }).collect();
    let (excess, found) = worst_excess(&unlimited, &[(Time(0), config(1, |_| 1.0))]);
    assert!(excess > 0.0 && found == name(overloaded), "the check must find an excess if nothing is refused");
    let refused = during.iter().filter_map(|done| done.refused);
    assert!(refused.into_iter().all(|code| code == Code::OverQuota));
}

/// The hub is lost: shares stay valid.
#[test]
fn hub_lost() {
    let mut world = warmed_up(62, 3);
    run(&mut world, Duration::from_secs(3), |_| USUAL);
    let hub = world.leader().expect("a hub");
    let begin = world.outcomes.len();
    world.kill(hub);
    run(&mut world, Duration::from_secs(8), |_| USUAL);
    let share = admitted_part(world.outcomes[begin..].iter());
    assert!(share >= 0.99, "{share}");
}

/// The same with 300 entry VMs, whose frames are 1.5 s apart and which find the next hub later.
#[test]
fn hub_lost_among_many() {
    let mut world = warmed_up(300, 3);
    run(&mut world, Duration::from_secs(2), |_| USUAL);
    let hub = world.leader().expect("a hub");
    let begin = world.outcomes.len();
    world.kill(hub);
    run(&mut world, Duration::from_secs(12), |_| USUAL);
    let share = admitted_part(world.outcomes[begin..].iter());
    assert!(share >= 0.99, "{share}");
}

/// A zone that is cut off keeps using the shares it holds.
#[test]
fn zone_cut_off() {
    let mut world = warmed_up(62, 4);
    run(&mut world, Duration::from_secs(3), |_| USUAL);
    let begin = world.outcomes.len();
    world.cut(1, true);
    run(&mut world, Duration::from_secs(5), |_| USUAL);
    let during = &world.outcomes[begin..];
    let cut = admitted_part(during.iter().filter(|done| done.vm % ZONES.len() == 1));
    let others = admitted_part(during.iter().filter(|done| done.vm % ZONES.len() != 1));
    assert!(cut >= 0.95, "{cut}");
    assert!(others >= 0.99, "{others}");
}

/// Kills all entry VMs and restarts all but one of them after a second. Returns the part of the requests
/// admitted once they serve again.
fn restart_all(world: &mut World, but: Option<usize>) -> f64 {
    for at in 0..world.len() {
        world.kill(at);
    }
    world.advance(Duration::from_secs(1));
    for at in (0..world.len()).filter(|at| Some(*at) != but) {
        world.restart(at);
    }
    world.advance(Duration::from_secs(4));
    let begin = world.outcomes.len();
    run(world, Duration::from_secs(4), |_| USUAL);
    admitted_part(world.outcomes[begin..].iter())
}

/// All entry VMs are killed at once and restart after a second: nobody waits for shares of ended processes.
#[test]
fn all_restarted() {
    let mut world = warmed_up(62, 5);
    run(&mut world, Duration::from_secs(3), |_| USUAL);
    let share = restart_all(&mut world, None);
    assert!(share >= 0.95, "{share}");
}

/// The same with one entry VM lost for good some seconds before. Only the shares it held are missing, and
/// nobody waits for its report. Guards against a fault in which all keys were refused for ten seconds.
#[test]
fn all_restarted_but_one() {
    let mut world = warmed_up(62, 8);
    run(&mut world, Duration::from_secs(3), |_| USUAL);
    world.kill(17);
    run(&mut world, Duration::from_secs(5), |_| USUAL);
    let share = restart_all(&mut world, Some(17));
    assert!(share >= 0.95, "{share}");
}

/// A raised limit reaches callers within a second; a lowered one takes effect after a window.
#[test]
fn limits_changed() {
    let mut world = warmed_up(62, 6);
    run(&mut world, Duration::from_secs(3), |_| USUAL);
    world.configure(config(2, |_| 4.0));
    run(&mut world, Duration::from_secs(1), |_| 4.0 * USUAL);
    let begin = world.outcomes.len();
    run(&mut world, Duration::from_secs(4), |_| 4.0 * USUAL);
    let share = admitted_part(world.outcomes[begin..].iter());
    assert!(share >= 0.99, "{share}");
    let lowered = world.now;
    world.configure(config(3, |_| 0.5));
    run(&mut world, Duration::from_secs(20), |_| USUAL);
    let limits = [
        (Time(0), config(1, |_| 1.0)),
        (world.now - Duration::from_hours(1), config(2, |_| 4.0)),
        (lowered, config(3, |_| 0.5)),
    ];
    let (excess, workspace) = worst_excess(&world.outcomes, &limits);
    assert!(excess <= 0.0, "{workspace}: {excess}");
}

/// Begins a fault of one kind.
fn inject_fault(world: &mut World, kind: u8, at: usize) {
    match kind {
        0 => world.kill(at),
        1 => world.suspend(at, true),
        2 => world.cut(at % ZONES.len(), true),
        3 => world.set_store_access(at, false),
        4 => {
            if let Some(hub) = world.leader() {
                world.kill(hub);
            }
        }
        5 => {
            if let Some(hub) = world.leader() {
                world.suspend(hub, true);
            }
        }
        6 => {
            if let Some(hub) = world.leader() {
                world.set_store_access(hub, false);
            }
        }
        _ => world.restart(at),
    }
}

/// Plays a random sequence of faults. Returns the most that any workspace used beyond the bound; negative
/// if none exceeded it.
fn play_random_faults(u: &mut Unstructured<'_>) -> arbitrary::Result<(f64, Name)> {
    let mut world = world(13, u.arbitrary()?);
    world.advance(Duration::from_secs(6));
    if u.ratio(1, 2)? {
        world.turned_away = 0.3;
    }
    if u.ratio(1, 3)? {
        world.answers_lost = 0.3;
    }
    let large = if u.ratio(1, 2)? { 0.05 } else { 0.0 };
    let overloaded: u32 = u.arbitrary()?;
    let demand = |at: usize| if overloaded >> at & 1 == 1 { 8.0 * USUAL } else { USUAL };
    let mut limits = vec![(Time(0), config(1, |_| 1.0))];
    run_sized(&mut world, Duration::from_secs(2), demand, large);
    for _ in 0..u.int_in_range(1..=5)? {
        let at = u.int_in_range(0..=world.len() - 1)?;
        match u.int_in_range(0..=11)? {
            8 => world.add(),
            9 => {
                let version = limits.len() as u64 + 1;
                let factor = *u.choose(&[0.25, 0.5, 2.0])?;
                limits.push((world.now, config(version, |_| factor)));
                world.configure(config(version, |_| factor));
            }
            // The hub's zone keeps using its shares while the others demand what it had been given.
            10 => {
                if let Some(hub) = world.leader() {
                    world.cut(hub % ZONES.len(), true);
                }
            }
            11 => world.restore_store(Duration::from_millis(u.int_in_range(0..=6_000)?)),
            kind => inject_fault(&mut world, kind, at),
        }
        let ms = u.int_in_range(200..=4_000)?;
        run_sized(&mut world, Duration::from_millis(ms), demand, large);
        if u.ratio(1, 3)? {
            world.heal();
        }
    }
    world.heal();
    run_sized(&mut world, Duration::from_secs(3), demand, large);
    Ok(worst_excess(&world.outcomes, &limits))
}

/// Whatever is lost, cut off, suspended, restarted, added, rejected or changed: in no window does a
/// workspace get more than the platform's bound, while some demand eight times their usual and some
/// requests are larger than a window may hold.
#[test]
fn bound_holds_at_random() {
    arbtest(|u| {
        let (excess, workspace) = play_random_faults(u)?;
        assert!(excess <= 0.0, "{workspace}: {excess} over the bound");
        Ok(())
    })
    .budget_ms(world::budget_ms(8_000));
}

/// The hub's zone is cut off while all workspaces demand eight times their usual. The zone keeps using its
/// shares, and the next hub must not give them to others. Returns the most that any workspace used beyond
/// the bound.
fn cut_with_hub(forgetful: bool) -> f64 {
    let mut world = world(13, 9);
    world.forgets_shares = forgetful;
    world.advance(Duration::from_secs(6));
    run(&mut world, Duration::from_secs(4), |_| 8.0 * USUAL);
    let zone = world.leader().expect("a hub") % ZONES.len();
    world.cut(zone, true);
    run(&mut world, Duration::from_secs(12), |_| 8.0 * USUAL);
    worst_excess(&world.outcomes, &[(Time(0), config(1, |_| 1.0))]).0
}

#[test]
fn hub_zone_cut_off() {
    let excess = cut_with_hub(false);
    assert!(excess <= 0.0, "{excess} over the bound");
}

/// Proves that the check works: if the store loses the record of holders, it must find an excess.
#[test]
fn check_finds_excess() {
    let excess = cut_with_hub(true);
    assert!(excess > 0.0, "{excess}");
}

/// Entry VMs are added and get shares. Then they are cut off, the hub restarts, and the store is restored
/// from a copy that names none of them as holders. Returns the most that any workspace used beyond the
/// bound.
fn holders_lost_by_restore(blind: bool) -> f64 {
    let mut world = world(3, 9);
    world.hides_era = blind;
    run(&mut world, Duration::from_secs(6), |_| USUAL);
    (0..10).for_each(|_| world.add());
    run(&mut world, Duration::from_secs(7), |_| 8.0 * USUAL);
    let hub = world.leader().expect("a hub");
    (3..world.len()).for_each(|at| world.isolate(at, true));
    world.restore_store(Duration::from_secs(8));
    world.restart(hub);
    run(&mut world, Duration::from_secs(12), |_| 8.0 * USUAL);
    worst_excess(&world.outcomes, &[(Time(0), config(1, |_| 1.0))]).0
}

/// Guards against shares that are given out twice because the row that named their holders is lost.
#[test]
fn restored_store_gives_no_share_twice() {
    let excess = holders_lost_by_restore(false);
    assert!(excess <= 0.0, "{excess} over the bound");
    let excess = holders_lost_by_restore(true);
    assert!(excess > 0.0, "the check must find an excess if the era is ignored: {excess}");
}
