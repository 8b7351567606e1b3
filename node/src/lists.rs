//! Lets a host follow a discovery.

use birchswitch_host::{Host, Upstream};
use birchswitch_membership::list::ServerList;
use birchswitch_membership::{Discovery, DiscoveryEvent, DiscoveryTimeouts};
use std::net::SocketAddr;
use std::rc::Rc;

/// Takes in what is known and follows discovery from there: on its own, or where lists come only when `asked` for, when the
/// decisions say so.
pub fn follow<U: Upstream>(
    host: &Rc<Host<U>>,
    address: SocketAddr,
    known: Option<&ServerList>,
    asked: bool,
) -> Rc<Discovery> {
    let telling = host.clone();
    let revision = known.map_or(0, |list| list.revision);
    let patience = if asked { DiscoveryTimeouts::SERVICE } else { DiscoveryTimeouts::AGENT };
    let discovery = Discovery::new(address, patience, revision, move |told| match told {
        DiscoveryEvent::List(list) => telling.apply_list(&list),
        DiscoveryEvent::Reconnecting(error, pause) => {
            telling.log(format_args!("watch: {error}; again in {} ms", pause.as_millis()));
        }
        DiscoveryEvent::WatchFailed(error) => {
            telling.log(format_args!("watch: {error}"));
            telling.watch_failed();
        }
    });
    let watching = discovery.clone();
    host.on_watch(move || watch(&watching, asked));
    host.load_cached_list(known);
    if !asked {
        discovery.follow();
    }
    discovery
}

/// Opens the watch anew.
pub fn watch(discovery: &Rc<Discovery>, asked: bool) {
    if asked {
        discovery.watch_once();
    } else {
        discovery.follow();
    }
}
