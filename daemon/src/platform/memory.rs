//! A stand-in platform within the process, with the same outcomes as over HTTP.

use std::time::Duration;

use boragecove_core::table::{Call, Failure, Reply};
use boragecove_core::vm::Vm;
use boragecove_standin::fault::{Kind, Scope};
use boragecove_standin::platform::Platform;
use boragecove_wire::platform;
use bytes::Bytes;
use futures_util::FutureExt;

use super::{Answer, Objects, Table, Vms};

/// A stand-in platform as an edge of the process.
#[derive(Debug)]
pub(super) struct Memory(Platform);

impl Memory {
    pub(super) const fn new(platform: Platform) -> Self {
        Self(platform)
    }

    /// Carries out a call, with the fault that is to be committed on it.
    async fn commit<T>(&self, scope: Scope, call: impl Fn(&Platform) -> T) -> Result<T, Failure> {
        match self.0.faults().strike(scope) {
            Some(Kind::Refuse) => Err(Failure::Unavailable),
            Some(Kind::Drop | Kind::Silent) => Err(Failure::Unknown),
            Some(Kind::Lose) => {
                let _lost = call(&self.0);
                Err(Failure::Unknown)
            }
            Some(Kind::Delay(ms)) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                Ok(call(&self.0))
            }
            Some(Kind::Late(ms)) => {
                let done = call(&self.0);
                tokio::time::sleep(Duration::from_millis(ms)).await;
                Ok(done)
            }
            Some(Kind::Duplicate) => {
                let first = call(&self.0);
                let _second = call(&self.0);
                Ok(first)
            }
            _ => Ok(call(&self.0)),
        }
    }
}

impl Table for Memory {
    fn call(&self, call: Call) -> Answer<'_, Reply> {
        async move {
            let call = platform::Call::from(call);
            let reply = self.commit(Scope::Table, |platform| platform.table().call(call.clone())).await?;
            reply.try_into().map_err(|_unreadable| Failure::Unknown)
        }
        .boxed_local()
    }
}

impl Vms for Memory {
    fn list(&self) -> Answer<'_, Vec<Vm>> {
        async move { self.commit(Scope::Vms, |platform| platform.vms().get()).await }.boxed_local()
    }
}

impl Objects for Memory {
    fn get(&self, key: String) -> Answer<'_, Option<Bytes>> {
        async move { self.commit(Scope::Object, |platform| platform.objects().get(&key)).await }.boxed_local()
    }

    fn put(&self, key: String, bytes: Bytes) -> Answer<'_, ()> {
        async move { self.commit(Scope::Object, |platform| platform.objects().put(&key, bytes.clone())).await }
            .boxed_local()
    }

    fn delete(&self, key: String) -> Answer<'_, ()> {
        async move { self.commit(Scope::Object, |platform| platform.objects().delete(&key)).await }
            .boxed_local()
    }
}
