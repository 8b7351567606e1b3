//! Connects a host to discovery.

use birchswitch_host::{Host, Upstream};
use birchswitch_membership::list::ServerList;
use birchswitch_membership::{Discovery, DiscoveryEvent, DiscoveryTimeouts};
use std::net::SocketAddr;
use std::rc::Rc;

/// Loads the cached list and follows discovery from its revision. If lists are sent only to subscribers (`subscribe`), the engine
/// decides when to open a watch.
pub fn follow<U: Upstream>(
    host: &Rc<Host<U>>,
    address: SocketAddr,
    known: Option<&ServerList>,
    subscribe: bool,
) -> Rc<Discovery> {
    let receiver = host.clone();
    let revision = known.map_or(0, |list| list.revision);
    let timeouts = if subscribe { DiscoveryTimeouts::SERVICE } else { DiscoveryTimeouts::AGENT };
    let discovery = Discovery::new(address, timeouts, revision, move |event| match event {
        DiscoveryEvent::List(list) => receiver.apply_list(&list),
        DiscoveryEvent::Reconnecting(error, pause) => {
            receiver.log(format_args!("watch: {error}; again in {} ms", pause.as_millis()));
        }
        DiscoveryEvent::WatchFailed(error) => {
            receiver.log(format_args!("watch: {error}"));
            receiver.watch_failed();
        }
    });
    let watched = discovery.clone();
    host.on_watch(move || watch(&watched, subscribe));
    host.load_cached_list(known);
    if !subscribe {
        discovery.follow();
    }
    discovery
}

/// Opens a new watch.
pub fn watch(discovery: &Rc<Discovery>, subscribe: bool) {
    if subscribe {
        discovery.watch_once();
    } else {
        discovery.follow();
    }
}
