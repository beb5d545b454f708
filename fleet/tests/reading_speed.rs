//! The reading speed of engines is estimated from the times to first events.

mod node;

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_fleet::speed::Speed;
use node::millis;

const SERVICE: &str = "writer";

/// The time to the first event of a prompt at an engine that reads `per_ms` tokens per ms. Three in ten prompts wait for others, and
/// one in twenty has half of its tokens in the engine's cache.
fn first_event(rng: &mut fastrand::Rng, tokens: u32, per_ms: f64) -> Duration {
    let mut ms = 8.0 + f64::from(tokens) / per_ms;
    match rng.u32(0..20) {
        0 => ms -= f64::from(tokens) / per_ms / 2.0,
        1..=6 => ms += rng.f64() * 150.0,
        _ => {}
    }
    Duration::from_secs_f64(ms / 1_000.0)
}

/// After 80 prompts the error of the estimate is below 25%, for engines that read 10 to 160 tokens per ms.
#[test]
fn speed_is_estimated() {
    for per_ms in [10.0, 22.0, 40.0, 160.0] {
        let mut rng = fastrand::Rng::with_seed(5);
        let mut speed = Speed::default();
        let model = Name::from("m0");
        for _ in 0..80 {
            let tokens = rng.u32(300..4_000);
            speed.learn_prefill(&SERVICE.into(), &model, tokens, first_event(&mut rng, tokens, per_ms));
        }
        let estimate = speed.prefill_time(SERVICE, "m0", 2_000).as_secs_f64() * 1_000.0;
        let actual = 2_000.0 / per_ms;
        assert!(
            (estimate / actual - 1.0).abs() < 0.25,
            "{estimate:.1} ms, not {actual:.1} ms, at {per_ms} tokens per ms"
        );
    }
}

/// For a model without samples, the estimate is that of its service.
#[test]
fn new_model_uses_service_estimate() {
    let mut speed = Speed::default();
    for _ in 0..40 {
        speed.learn_prefill(&SERVICE.into(), &"m0".into(), 1_000, millis(18));
    }
    let (known, other) = (speed.prefill_time(SERVICE, "m0", 1_000), speed.prefill_time(SERVICE, "m1", 1_000));
    assert!(other < known * 2, "{other:?} and {known:?}");
}

/// A burst in which every prompt waits for others raises the estimate only little.
#[test]
fn bursts_change_the_estimate_little() {
    let mut speed = Speed::default();
    for _ in 0..40 {
        speed.learn_prefill(&SERVICE.into(), &"m0".into(), 1_000, millis(48));
    }
    let before = speed.prefill_time(SERVICE, "m0", 1_000);
    for _ in 0..20 {
        speed.learn_prefill(&SERVICE.into(), &"m0".into(), 1_000, millis(900));
    }
    let after = speed.prefill_time(SERVICE, "m0", 1_000);
    assert!(after < before.mul_f64(1.5), "{after:?} after {before:?}");
}
