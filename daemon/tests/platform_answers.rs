//! Answers of the platform of the system's own deployment that break off or are none: no object is taken for whole that is
//! not, and no call for carried out whose answer can't be read. The servers of these tests write to their sockets directly.

mod raw_answers;

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::table::Failure;
use boragecove_daemon::platform::{Addresses, Platform, Source};
use raw_answers::{End, HEADS, server};

/// An object that each part of it could be, too.
const OBJECT: &str = "an object of bytes";

fn platform(address: SocketAddr) -> Platform {
    let limit = Duration::from_secs(2);
    Platform::new(Source::Http(Addresses {
        table: address,
        objects: address,
        vms: address,
        connect: limit,
        limit,
    }))
}

/// Reads an object from a server that answers so, or says why there is none.
async fn object(answer: String, end: End) -> Result<Option<String>, Failure> {
    let read = platform(server(answer, end)).objects.get("key".to_owned()).await?;
    Ok(read.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()))
}

#[actix_web::test]
async fn objects_whole() {
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{OBJECT}", OBJECT.len());
    let chunks = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{OBJECT}\r\n0\r\n\r\n",
        OBJECT.len()
    );
    for end in [End::Closed, End::Reset] {
        assert_eq!(object(length.clone(), end).await, Ok(Some(OBJECT.to_owned())), "{end:?}");
        assert_eq!(object(chunks.clone(), end).await, Ok(Some(OBJECT.to_owned())), "{end:?}");
    }
    for version in ["1.0", "1.1"] {
        let unframed = format!("HTTP/{version} 200 OK\r\n\r\n{OBJECT}");
        assert_eq!(object(unframed, End::Closed).await, Ok(Some(OBJECT.to_owned())), "{version}");
    }
    let none = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(object(none.to_owned(), End::Closed).await, Ok(None));
}

/// Guards against a part of an object that is taken for all of it: cut at each byte, in order and by a reset.
#[actix_web::test]
async fn objects_cut() {
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{OBJECT}", OBJECT.len());
    let chunks = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{}\r\n9\r\n{}\r\n0\r\n\r\n",
        &OBJECT[..9],
        &OBJECT[9..]
    );
    for whole in [length, chunks] {
        for cut in 0..whole.len() {
            for end in [End::Closed, End::Reset] {
                let read = object(whole[..cut].to_owned(), end).await;
                assert_eq!(read, Err(Failure::Unknown), "{:?}, {end:?}", &whole[..cut]);
            }
        }
    }
    for version in ["1.0", "1.1"] {
        let unframed = format!("HTTP/{version} 200 OK\r\n\r\n{OBJECT}");
        assert_eq!(object(unframed, End::Reset).await, Err(Failure::Unknown), "{version}");
    }
}

/// Guards against calls that count as carried out, or as not, by a head that is none.
#[actix_web::test]
async fn invalid_heads() {
    for head in HEADS {
        let answer = format!("{head}\r\nContent-Length: 2\r\n\r\n[]");
        let platform = platform(server(answer, End::Closed));
        assert_eq!(
            platform.objects.put("key".to_owned(), "bytes".into()).await,
            Err(Failure::Unknown),
            "{head:?}"
        );
        assert!(matches!(platform.vms.list().await, Err(Failure::Unknown)), "{head:?}");
    }
}

/// Guards against one entry of the list of VMs that cannot be read, by which no other entry was read any more.
#[actix_web::test]
async fn odd_vms() {
    let vm = |name: &str| {
        format!(
            r#"{{"name":"{name}","zone":"hall-a","address":"10.0.0.1:80","role":{{"backend":"writer"}},"phase":"live"}}"#
        )
    };
    let sound = vm("odd");
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        sound.replace("10.0.0.1:80", "10.0.0.1:99999"),
        sound.replace("10.0.0.1:80", "10.0.0.1:-1"),
        sound.replace("\"10.0.0.1:80\"", "1e999"),
        sound.replace("\"hall-a\"", &nested),
        sound.replace("{\"backend\":\"writer\"}", "\"watcher\""),
        sound.replace("\"phase\":\"live\"", "\"phase\":7"),
        sound.replace(",\"phase\":\"live\"", ""),
        nested.clone(),
        "18446744073709551616".to_owned(),
        "null".to_owned(),
    ];
    for odd in odd {
        assert_ne!(odd, sound);
        let body = format!("[{},{odd},{}]", vm("w-1"), vm("w-2"));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let listed = platform(server(answer, End::Closed)).vms.list().await;
        let names = listed.map(|vms| vms.into_iter().map(|vm| vm.name).collect::<Vec<_>>());
        assert_eq!(names, Ok(vec!["w-1".into(), "w-2".into()]), "{odd:.200}");
    }
}
