//! The stand-in VM list: lags behind by the paused clock's time.

use std::time::Duration;

use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_standin::platform::vm::List;

fn vm(name: &str) -> Vm {
    let address = ([127, 0, 0, 1], 1).into();
    Vm { name: name.into(), zone: "hall-a".into(), address, role: Role::Entry, phase: Phase::Live }
}

#[actix_web::test]
async fn shown_later() {
    tokio::time::pause();
    let list = List::new(Duration::from_secs(3));
    list.put(vm("a"));
    tokio::time::advance(Duration::from_secs(2)).await;
    list.put(vm("b"));
    list.leave(&"a".into());
    assert_eq!(list.get(), []);
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(list.get(), [vm("a")]);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(list.get(), [Vm { phase: Phase::Leaving, ..vm("a") }, vm("b")]);
    list.remove("a");
    assert_eq!(list.get().len(), 2);
    list.set_lag(Duration::ZERO);
    assert_eq!(list.get(), [vm("b")]);
}
