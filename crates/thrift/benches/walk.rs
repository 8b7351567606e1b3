//! Compares the throughput of the walker with the `thrift` crate, which decodes the same messages with generated code.

#[allow(dead_code, missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "../tests/order/order.rs"]
mod order;

use birchswitch_thrift::walk::{self, Paths};
use birchswitch_thrift::{transcode, Limits, Protocol};
use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use order::{Caller, Currency, Item, Order};
use std::hint::black_box;
use thrift::protocol::*;
use thrift::OrderedFloat;

fn order(items: usize) -> Order {
    let caller = Caller::new("dalbit".to_owned(), 480, "5c0f6e1a2b3d4c59".to_owned(), 91_000i64);
    let item = |n: usize| Item::new(format!("gem-{n}"), n as i32, OrderedFloat(0.25));
    let notes = [("campaign".to_owned(), "season-pass".to_owned()), ("ref".to_owned(), "lobby".to_owned())];
    let (coupons, receipt) = ([3i16, 900, -7].into(), vec![7u8; 64]);
    let items = (0..items).map(item).collect();
    Order::new(caller, 1 << 40, items, Some(notes.into()), Some(coupons), true, Currency::KRW, receipt)
}

fn call(protocol: Protocol, items: usize) -> Vec<u8> {
    fn write(out: &mut dyn TOutputProtocol, items: usize) -> thrift::Result<()> {
        out.write_message_begin(&TMessageIdentifier::new("buy", TMessageType::Call, 7))?;
        out.write_struct_begin(&TStructIdentifier::new("args"))?;
        out.write_field_begin(&TFieldIdentifier::new("order", TType::Struct, 1))?;
        order(items).write_to_out_protocol(out)?;
        out.write_field_stop()
    }
    let mut bytes = Vec::new();
    match protocol {
        Protocol::Binary => write(&mut TBinaryOutputProtocol::new(&mut bytes, true), items),
        Protocol::Compact => write(&mut TCompactOutputProtocol::new(&mut bytes), items),
    }
    .expect("it writes to memory");
    bytes
}

fn decode(protocol: Protocol, bytes: &[u8]) -> Order {
    fn read(input: &mut dyn TInputProtocol) -> thrift::Result<Order> {
        input.read_message_begin()?;
        input.read_struct_begin()?;
        input.read_field_begin()?;
        Order::read_from_in_protocol(input)
    }
    match protocol {
        Protocol::Binary => read(&mut TBinaryInputProtocol::new(bytes, true)),
        Protocol::Compact => read(&mut TCompactInputProtocol::new(bytes)),
    }
    .expect("an order")
}

fn benches(c: &mut Criterion) {
    let limits = Limits::default();
    let paths = Paths::new(["1.1.1", "1.1.2", "1.1.3", "1.1.4"].map(|p| Paths::parse(p).expect("a path")));
    for protocol in [Protocol::Binary, Protocol::Compact] {
        for items in [2, 200] {
            let bytes = call(protocol, items);
            let mut group = c.benchmark_group(format!("{protocol:?}, {} bytes", bytes.len()));
            group.throughput(Throughput::Bytes(bytes.len() as u64));
            group.bench_function("walk", |b| {
                b.iter(|| {
                    walk::framed_message(protocol, black_box(&bytes), &paths, &limits).expect("a message").end
                })
            });
            group.bench_function("the thrift crate decodes", |b| {
                b.iter(|| decode(protocol, black_box(&bytes)))
            });
            group.bench_function("transcode", |b| {
                let mut out = Vec::new();
                b.iter(|| {
                    out.clear();
                    transcode::message(&mut out, protocol, black_box(&bytes), 1, true, &limits)
                })
            });
            group.finish();
        }
    }
}

criterion_group!(all, benches);
criterion_main!(all);
