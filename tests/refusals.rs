//! Labels of refusal reasons in metrics and logs.

use finchvale::Refusal;

#[test]
fn refusal_labels_are_stable() {
    let labels = Refusal::ALL.map(Refusal::as_str);
    assert_eq!(labels, ["hopeless", "toll", "no_server", "chance", "spent"]);
}
