// The order service of a stand-in shop. `thrift --gen rs -out . order.thrift` makes order.rs of it.

enum Currency {
  KRW = 1,
  USD = 2,
}

struct Item {
  1: required string sku,
  2: required i32 count,
  3: optional double discount,
}

struct Caller {
  1: required string tenant,
  2: optional i32 deadline_ms,
  3: optional string order_key,
  4: optional i64 cost_us,
}

struct Order {
  1: required Caller caller,
  2: required i64 player,
  3: required list<Item> items,
  4: optional map<string, string> notes,
  5: optional set<i16> coupons,
  6: optional bool gift,
  7: optional Currency currency,
  8: optional binary receipt,
}

struct Receipt {
  1: required string number,
  2: required i64 paid,
  3: optional list<bool> granted,
}

exception SoldOut {
  1: required string sku,
}

struct Load {
  1: required i32 held,
  2: required i32 waiting,
  3: required double busy,
}

service Shop {
  Receipt buy(1: Order order) throws (1: SoldOut sold_out),
  Receipt topup(1: Order order),
  list<Item> browse(1: Caller caller, 2: string page),
  oneway void seen(1: Caller caller, 2: i64 player),
  Load load(),
}
