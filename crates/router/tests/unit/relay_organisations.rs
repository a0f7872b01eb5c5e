//! Tests of the bounds of metrics and views by organisation.

use super::*;

fn partner(number: usize) -> PartnerId {
    format!("organisation-{number:03}").parse().unwrap()
}

/// Each organisation is a series per service and outcome; several hundred would exceed the memory of a small host.
#[test]
fn organisations_beyond_the_maximum_share_a_label() {
    let outcomes = OrganisationOutcomes::default();
    let labels: BTreeSet<String> =
        (0..400).map(|number| outcomes.record("app", &partner(number), "over-share")).collect();
    assert_eq!(labels.len(), NAMED_ORGANISATIONS_MAX + 1);
    outcomes.record("app", &partner(0), "answered");
    let refused = outcomes.0.lock().refused.clone();
    assert_eq!(refused[&("app".to_owned(), OTHER.to_owned())], [("over-share", 336)].into());
    assert_eq!(refused[&("app".to_owned(), partner(0).as_str().to_owned())], [("over-share", 1)].into());
}

/// The view must name the organisations that ask for most, and lose nothing of the sum.
#[test]
fn view_names_the_largest_and_sums_up_the_rest() {
    let mut view = ServiceView::default();
    for number in 0..400 {
        let name = partner(number);
        let organisation = view.organisation(Some(name.as_str()));
        organisation.demand_per_1000_s = number as u64;
        organisation.refused = [("over-share", 1)].into();
    }
    view.organisation(None).demand_per_1000_s = 7;
    view.bound();
    assert_eq!(view.organisations.len(), NAMED_ORGANISATIONS_MAX + 1);
    assert!(view.organisations.contains_key(partner(399).as_str()));
    let total: u64 = view.organisations.values().map(|it| it.demand_per_1000_s).sum();
    assert_eq!(total, 399 * 400 / 2 + 7);
    assert_eq!(view.organisations[OTHER].refused, [("over-share", 336)].into());
}
